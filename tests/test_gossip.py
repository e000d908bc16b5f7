"""What nodes take over from one another."""

import random
import signal
import types

import anyio
import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_model import errors as model_errors
from radishcourse_model import ids
from radishcourse_model import merge
from radishcourse_node import exchange
from radishcourse_node.controllers import configuration
from radishcourse_node.controllers import freshness
from radishcourse_platform import revisions
from radishcourse_policy import clock as clocks
from radishcourse_policy import freshness as policy
from radishcourse_policy import membership
from radishcourse_wire.gen.peer import ttypes
from tests import cluster as clusters
from tests import fleet

LAST = 8


def make_chain() -> tuple[list[merge.Document], list[configuration.Verified]]:
    """Returns documents by revision, and the changes between them."""
    documents = [
        {'zones': {f'z{index}': {'state': 'in'}
                   for index in range(number)}}
        if number
        else {}
        for number in range(LAST + 1)
    ]  # fmt: skip
    changes = [
        configuration.Verified(
            ids.Revision(number),
            merge.digest(documents[number]),
            merge.diff(documents[number - 1], documents[number]),
        )
        for number in range(1, LAST + 1)
    ]
    return documents, changes


DOCUMENTS, CHANGES = make_chain()


def make_configuration():
    clock = clocks.ManualClock(100.0)
    fresh = freshness.Freshness(clock)
    return configuration.Configuration(None, clock, None, fresh), fresh


class ConfigurationTest(testtools.TestCase):
    """Guards against a configuration that reverts or was never accepted."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.booleans(),
                strategies.integers(0, LAST),
                strategies.integers(0, LAST),
            )
        )
    )
    def test_any_order_of_changes_and_snapshots_leads_forward(self, told):
        ours, _ = make_configuration()

        async def take(whole, first, last):
            if whole and last:
                document = DOCUMENTS[last]
                await ours.adopt_snapshot(
                    revisions.Snapshot(ids.Revision(last), document),
                    merge.digest(document),
                )
            else:
                await ours.adopt_changes(CHANGES[first:last])

        async def main():
            for item in told:
                before = ours.revision
                await take(*item)
                self.assertGreaterEqual(ours.revision, before)
                self.assertEqual(
                    DOCUMENTS[ours.revision], ours.snapshot.document
                )
                for start in range(LAST + 1):
                    passed_on = ours.changes_after(start)
                    if passed_on:
                        self.assertEqual(
                            CHANGES[start : ours.revision], passed_on
                        )

        anyio.run(main)

    def test_forged_changes_and_snapshots_are_rejected(self):
        ours, _ = make_configuration()
        forged = CHANGES[0]._replace(patch={'zones': {'x': {'state': 'in'}}})
        snapshot = revisions.Snapshot(ids.Revision(3), DOCUMENTS[2])
        for call in (
            lambda: ours.adopt_changes([forged]),
            lambda: ours.adopt_snapshot(snapshot, CHANGES[2].digest),
        ):
            self.assertRaises(model_errors.PatchError, anyio.run, call)
        self.assertEqual(0, ours.revision)

    def test_only_the_same_document_confirms(self):
        ours, fresh = make_configuration()
        anyio.run(ours.adopt_changes, CHANGES[:2])
        for revision, digest in (
            (1, CHANGES[0].digest),
            (3, CHANGES[2].digest),
            (2, CHANGES[2].digest),
        ):
            ours.confirm(revision, digest, 100.0)
        self.assertIsNone(fresh.confirmed_at)
        ours.confirm(2, CHANGES[1].digest, 100.0)
        self.assertEqual(100.0, fresh.confirmed_at)

    def test_known_newer_revision_rules_out_an_outage(self):
        ours, fresh = make_configuration()
        anyio.run(ours.adopt_changes, CHANGES[:2])
        peer = ids.NodeId('b')
        fresh.set_sample(frozenset([peer]))
        fresh.note_peer(peer, policy.Evidence(100.0, ours.revision, False))
        self.assertIs(policy.View.OUTAGE, fresh.view)
        fresh.note_newest(ids.Revision(3))
        self.assertIs(policy.View.STALE, fresh.view)
        anyio.run(ours.adopt_changes, CHANGES[2:3])
        fresh.note_peer(peer, policy.Evidence(100.0, ours.revision, False))
        self.assertIs(policy.View.OUTAGE, fresh.view)


class BoundTest(testtools.TestCase):
    """Guards against answers that grow with the records of the fleet."""

    def test_answers_tell_some_records_and_always_the_own_one(self):
        record = ttypes.LearnedRecord('a', 1, b'')
        others = [ttypes.LearnedRecord('b', 1, b'') for _ in range(500)]
        node = types.SimpleNamespace(
            settings=None,
            environment=types.SimpleNamespace(
                clock=None, random=random.Random(1)
            ),
            configuration=None,
            freshness=None,
            quality=types.SimpleNamespace(records=lambda: [record, *others]),
        )
        talk = exchange.Exchange(node, membership.Members(ids.NodeId('a')))
        told = talk._sample_records('quality', exchange.MAX_LEARNED)
        self.assertEqual(exchange.MAX_LEARNED, len(told))
        self.assertIs(record, told[0])


class MemberTest(testtools.TestCase):
    """Guards against members that are lost, mixed up or believed alive."""

    def _await_state(self, cluster, name: str, state: str) -> None:
        clusters.wait_until(
            lambda: fleet.states(cluster, 'entry-0').get(name) == state
        )

    def test_members_through_wrong_address_stop_and_restart(self):
        with clusters.running(3, peer_routes={}) as cluster:
            liar = cluster.names[2]
            cluster.nodes[liar].kill()
            neighbour = cluster.status('entry-0')['members'][0]['address']
            cluster.start_node(
                liar, peer_advertise=neighbour, drain_delay_s=3.0
            )
            cluster.wait_ready()
            first = cluster.status(liar)['incarnation']

            def knows(incarnation: str) -> bool:
                members = cluster.status('entry-0')['members']
                return incarnation in [item['incarnation'] for item in members]

            clusters.wait_until(lambda: knows(first))
            self._await_state(cluster, liar, 'alive')
            self._await_state(cluster, 'entry-1', 'alive')
            cluster.nodes[liar].signal(signal.SIGTERM)
            self._await_state(cluster, liar, 'leaving')
            cluster.nodes[liar].popen.wait()
            cluster.start_node(liar)
            self._await_state(cluster, liar, 'alive')
            second = cluster.status(liar)['incarnation']
            self.assertNotEqual(first, second)
            clusters.wait_until(lambda: knows(second))
            self.assertFalse(knows(first))
