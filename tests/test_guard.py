"""Tests the check made immediately before the first byte to an upstream."""

import types

import anyio
import httpcore
import testtools

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_model import states
from radishcourse_node import engines
from radishcourse_node import errors
from radishcourse_node import guard
from radishcourse_node import job as jobs
from radishcourse_node.controllers import freshness
from radishcourse_policy import clock as clocks

PAUSE_S = 10.0
ORGANISATION = ids.OrganisationId('roofers')


def make_config(version_state: states.VersionState) -> schema.Config:
    version = schema.Version(state=version_state, share=100)
    return schema.Config(
        organisations={
            ORGANISATION: schema.Organisation(keys=[], allowed={'small': ['*']})
        },
        models={ids.ModelId('small'): schema.Model(versions={'v1': version})},
        upstreams={
            ids.UpstreamId('u1'): schema.Upstream(
                address='127.0.0.1:1', zone=ids.ZoneId('a')
            )
        },
    )


class PauseTest(testtools.TestCase):
    """Guards against jobs sent on a view that a pause has made stale."""

    def _send(self, at_pause) -> tuple[bytes, Exception]:
        """Pauses between connecting and sending.

        Returns the bytes that the upstream received, and the error.
        """
        clock = clocks.ManualClock(100.0)
        node_freshness = freshness.Freshness(clock)
        node_freshness.confirm(clock.now())
        node = types.SimpleNamespace(
            configuration=types.SimpleNamespace(
                config=make_config(states.VersionState.ACTIVE)
            ),
            freshness=node_freshness,
            upstreams=types.SimpleNamespace(
                state=lambda _: states.UpstreamState.WARM
            ),
            environment=types.SimpleNamespace(clock=clock),
        )
        job = types.SimpleNamespace(
            deadline=clock.now() + 100, organisation_id=ORGANISATION
        )
        facts = jobs.Facts(
            model=ids.ModelId('small'),
            version=ids.VersionId('v1'),
            upstream=ids.UpstreamId('u1'),
        )

        async def pause(name: str) -> None:
            if name.endswith('connect_tcp.complete'):
                clock.advance(PAUSE_S)
                at_pause(node, clock)

        check = guard.Guard(node).make_trace(job, facts, pause)
        return anyio.run(_post, check)

    def test_stale_view_after_a_pause_sends_nothing(self):
        sent, error = self._send(lambda node, clock: None)
        self.assertEqual(b'', sent)
        self.assertIs(errors.RefusalCode.STALE_VIEW, error.reason)

    def test_withdrawn_choice_is_not_sent_by_a_confirmed_view(self):
        def withdraw(node, clock):
            node.freshness.confirm(clock.now())
            node.configuration.config = make_config(
                states.VersionState.WITHDRAWN
            )

        sent, error = self._send(withdraw)
        self.assertEqual(b'', sent)
        self.assertIsInstance(error, errors.AttemptError)
        self.assertFalse(error.sent)


async def _post(check) -> tuple[bytes, Exception]:
    received = []

    async def receive(stream) -> None:
        async with stream:
            async for chunk in stream:
                received.append(chunk)

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    caught = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, receive)
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                async with engines.open_response(
                    pool,
                    'POST',
                    f'http://127.0.0.1:{port}/',
                    [],
                    b'{}',
                    0.5,
                    check,
                ):
                    pass
            except errors.NodeError as error:
                caught = error
        tasks.cancel_scope.cancel()
    return b''.join(received), caught
