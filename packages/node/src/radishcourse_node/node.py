"""A node: its controllers put together, its background tasks, its stop."""

import contextlib
import secrets
import signal

import anyio
import msgspec
from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_platform import http
from radishcourse_platform import objects
from radishcourse_platform import revisions
from radishcourse_platform import table
from radishcourse_platform import vms
from radishcourse_wire import client as peer_client
from radishcourse_wire import credentials
from radishcourse_wire import server as peer_server
import uvicorn

from radishcourse_node import app
from radishcourse_node import environment as environments
from radishcourse_node import events
from radishcourse_node import gossip
from radishcourse_node import metrics
from radishcourse_node import ratings
from radishcourse_node import settings as node_settings
from radishcourse_node.controllers import admissions
from radishcourse_node.controllers import bills
from radishcourse_node.controllers import claims
from radishcourse_node.controllers import configuration
from radishcourse_node.controllers import freshness
from radishcourse_node.controllers import membership
from radishcourse_node.controllers import quality
from radishcourse_node.controllers import upstreams
from radishcourse_node.controllers import versions

MAX_LINE_BYTES = 32 * 1024
RESTART_DELAY_S = 1.0
# Time limit on reads of the configuration, and on their number at once.
# Answers that come later than others still confirm, or show a change.
CONFIGURATION_TIMEOUT_S = 5.0


class UpstreamStatus(msgspec.Struct):
    """An upstream as this node sees it."""

    upstream: str
    zone: str
    state: str
    in_flight: int


class MemberStatus(msgspec.Struct):
    """Another node as this node sees it; the age is that of its heartbeat."""

    node: str
    zone: str
    state: str
    incarnation: str
    address: str
    age_ms: int


class NodeStatus(msgspec.Struct):
    """What a node tells operators about itself."""

    node: str
    incarnation: str
    zone: str
    state: str
    revision: int
    view: str
    confirmed_age_ms: int | None
    platform_reached: bool
    in_progress: int
    bills_held: int
    upstreams: list[UpstreamStatus]
    members: list[MemberStatus]


class Node:
    """One node process.

    Args:
      environment: Streams, clock and random source.
      settings: The node's settings.
      platform: Client of the platform.
      source: Client of the platform for the configuration only, with a
        longer time limit; its calls must not wait for those of others.
    """

    def __init__(
        self,
        environment: environments.Environment,
        settings: node_settings.Settings,
        platform: http.Http,
        source: http.Http,
    ):
        self.environment = environment
        self.settings = settings
        self.incarnation = ids.Incarnation(
            f'{settings.node}.{secrets.token_hex(4)}'
        )
        own = credentials.Credentials(
            settings.node,
            self.incarnation,
            settings.peer_keys,
            settings.peer_key,
        )
        self.peers = peer_client.Client(own)
        self.peer_server = peer_server.Server(own, _note_reject)
        rows = table.Table(platform)
        revision_source = revisions.Revisions(
            table.Table(source), objects.Objects(source)
        )
        self.metrics = metrics.Metrics()
        self.freshness = freshness.Freshness(environment.clock)
        self.configuration = configuration.Configuration(
            settings,
            environment.clock,
            revision_source,
            self.freshness,
        )
        self.upstreams = upstreams.Upstreams(
            environment, self.configuration, settings
        )
        self.admissions = admissions.Admissions()
        self.quality = quality.Quality(self.configuration)
        self.ratings = ratings.Ratings(settings.rating, environment.clock)
        self.versions = versions.Versions(environment, self.configuration)
        self.claims = claims.Claims(environment, rows)
        self.bills = bills.Bills(environment, settings, self.incarnation, rows)
        self._draining = False
        self._requests = 0
        self._was_ready = False
        self.membership = membership.Membership(self, vms.Vms(platform))

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests."""
        return not self.unready_reason

    @property
    def state(self) -> states.MemberState:
        """What this node announces of itself."""
        if self._draining:
            return states.MemberState.LEAVING
        self._was_ready = self._was_ready or self.ready
        if self._was_ready:
            return states.MemberState.ALIVE
        return states.MemberState.JOINING

    @property
    def unready_reason(self) -> str:
        """Why the node is not ready, or an empty text."""
        if self._draining:
            return self.state.value
        if not self.configuration.revision:
            return 'no configuration'
        return '' if self.freshness.may_start() else 'stale_view'

    @property
    def requests(self) -> int:
        """Requests in progress."""
        return self._requests

    @contextlib.contextmanager
    def count_request(self):
        """Counts a request while it is in progress."""
        self._requests += 1
        try:
            yield
        finally:
            self._requests -= 1

    def status(self) -> NodeStatus:
        """Returns what operators see."""
        return NodeStatus(
            node=self.settings.node,
            incarnation=self.incarnation,
            zone=self.settings.zone,
            state=self.state.value,
            revision=self.configuration.revision,
            view=self.freshness.view.value,
            confirmed_age_ms=gossip.encode_age(self.freshness.age_s),
            platform_reached=self.freshness.platform_reached,
            in_progress=self._requests,
            bills_held=self.bills.held,
            upstreams=[
                self._describe(upstream_id, upstream)
                for upstream_id, upstream in (
                    self.configuration.config.upstreams.items()
                )
            ],
            members=[
                _describe_member(node, member)
                for node, member in sorted(self.membership.members.items())
            ],
        )

    def gauges(self) -> dict[str, float]:
        """Returns the node's gauges by metric name."""
        return {
            'radishcourse_revision': self.configuration.revision,
            'radishcourse_requests_in_progress': self._requests,
            'radishcourse_bills_held': self.bills.held,
            'radishcourse_ready': int(self.ready),
        }

    def _describe(self, upstream_id, upstream) -> UpstreamStatus:
        health = self.upstreams.health.get(upstream_id)
        state = self.upstreams.state(upstream_id).value
        in_flight = health.in_flight if health else 0
        return UpstreamStatus(upstream_id, upstream.zone, state, in_flight)

    async def serve(self) -> None:
        """Serves callers until SIGTERM or SIGINT, then drains."""
        server = self._make_server()
        events.log(
            events.Event.NODE_STARTED,
            node=self.settings.node,
            incarnation=self.incarnation,
            listen=self.settings.listen,
        )
        async with anyio.create_task_group() as tasks:
            for controller in (
                self.configuration,
                self.membership,
                self.upstreams,
                self.bills,
            ):
                tasks.start_soon(self._supervise, controller)
            tasks.start_soon(self._serve_peers)
            tasks.start_soon(self._drain_on_signal, server)
            await server.serve()
            await self._finish_bills()
            tasks.cancel_scope.cancel()
        events.log(events.Event.NODE_STOPPED, node=self.settings.node)

    async def _serve_peers(self) -> None:
        host, port = node_settings.split_address(self.settings.peer_listen)
        await self.peer_server.serve(host, port)

    def _make_server(self) -> uvicorn.Server:
        host, port = node_settings.split_address(self.settings.listen)
        config = uvicorn.Config(
            app.App(self),
            host=host,
            port=port,
            http='h11',
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            h11_max_incomplete_event_size=MAX_LINE_BYTES,
            timeout_graceful_shutdown=int(self.settings.drain_limit_s),
        )
        server = uvicorn.Server(config)
        # uvicorn's own handling of signals would cut off requests on a
        # second SIGTERM; this node's drain is started by _drain_on_signal.
        server.capture_signals = contextlib.nullcontext
        return server

    async def _supervise(self, controller) -> None:
        while True:
            try:
                await controller.run()
            except Exception as error:
                events.log(
                    events.Event.TASK_FAILED,
                    task=type(controller).__name__,
                    error=repr(error),
                )
            await anyio.sleep(RESTART_DELAY_S)

    async def _drain_on_signal(self, server: uvicorn.Server) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                break
            self._draining = True
            events.log(events.Event.NODE_DRAINING, in_progress=self._requests)
            await anyio.sleep(self.settings.drain_delay_s)
            server.should_exit = True
            # Later signals change nothing; they must not end the process.
            await anyio.sleep_forever()

    async def _finish_bills(self) -> None:
        if not await self.bills.flush():
            events.log(events.Event.BILLS_AT_RISK, held=self.bills.held)

    async def aclose(self) -> None:
        """Closes all connections."""
        await self.peers.aclose()
        await self.upstreams.aclose()
        await self.ratings.aclose()


def _describe_member(node, member: membership.Member) -> MemberStatus:
    return MemberStatus(
        node=node,
        zone=member.zone,
        state=member.state.value,
        incarnation=member.incarnation,
        address=member.address,
        age_ms=int(member.age_s * 1000),
    )


def _note_reject(reason: str) -> None:
    events.log(events.Event.PEER_REJECTED, reason=reason)


@contextlib.asynccontextmanager
async def open_node(environment, settings):
    """Yields a node and closes its connections at the end."""
    async with (
        http.open_http(settings.platform) as platform,
        http.open_http(settings.platform, CONFIGURATION_TIMEOUT_S) as source,
    ):
        node = Node(environment, settings, platform, source)
        try:
            yield node
        finally:
            with anyio.CancelScope(shield=True):
                await node.aclose()
