"""A node: its controllers put together, its background tasks, its stop."""

import asyncio
import contextlib
import functools
import secrets
import signal

import anyio
import msgspec
from radishcourse_model import ids
from radishcourse_platform import http
from radishcourse_platform import leases as lease_rows
from radishcourse_platform import objects
from radishcourse_platform import revisions
from radishcourse_platform import table
from radishcourse_platform import vms
from radishcourse_policy import leases as lease_policy
from radishcourse_wire import client as peer_client
from radishcourse_wire import credentials
from radishcourse_wire import messages
from radishcourse_wire import server as peer_server
import uvicorn

from radishcourse_node import app
from radishcourse_node import connections
from radishcourse_node import environment as environments
from radishcourse_node import events
from radishcourse_node import metrics
from radishcourse_node import ratings
from radishcourse_node import settings as node_settings
from radishcourse_node.controllers import admissions
from radishcourse_node.controllers import bills
from radishcourse_node.controllers import caches
from radishcourse_node.controllers import claims
from radishcourse_node.controllers import configuration
from radishcourse_node.controllers import freshness
from radishcourse_node.controllers import holders
from radishcourse_node.controllers import leases
from radishcourse_node.controllers import orders
from radishcourse_node.controllers import quality
from radishcourse_node.controllers import readers
from radishcourse_node.controllers import rollouts
from radishcourse_node.controllers import upstreams
from radishcourse_node.controllers import versions

MAX_LINE_BYTES = 32 * 1024
RESTART_DELAY_S = 1.0
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class UpstreamStatus(msgspec.Struct):
    """An upstream as this node sees it."""

    upstream: str
    zone: str
    state: str
    in_flight: int


class NodeStatus(msgspec.Struct):
    """What a node tells operators about itself."""

    node: str
    incarnation: str
    zone: str
    state: str
    revision: int
    view: str
    in_progress: int
    bills_held: int
    bills_held_for_others: int
    bills_at_risk: int
    upstreams: list[UpstreamStatus]


class Node:
    """One node process.

    Args:
      environment: Streams, clock and random source.
      settings: The node's settings.
      platform: Client of the platform.
    """

    def __init__(
        self,
        environment: environments.Environment,
        settings: node_settings.Settings,
        platform: http.Http,
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
        store = objects.Objects(platform)
        self.metrics = metrics.Metrics()
        self.freshness = freshness.Freshness(environment.clock)
        self.configuration = configuration.Configuration(
            settings,
            environment.clock,
            revisions.Revisions(rows, store),
            self.freshness,
        )
        self.vms = vms.Vms(platform)
        self.leases = leases.Leases(
            environment,
            settings,
            self.incarnation,
            lease_rows.LeaseRows(rows),
            self.freshness,
            self._lease_names,
            self._roster,
        )
        self.caches = caches.Caches()
        self.upstreams = upstreams.Upstreams(self)
        self.orders = orders.Orders(self)
        self.admissions = admissions.Admissions(
            environment, self.configuration, lambda: self.live_nodes
        )
        self.ratings = ratings.Ratings(settings.rating, environment.clock)
        self.rollouts = rollouts.Rollouts(
            environment, settings, self.configuration, rows
        )
        self.quality = quality.Quality(
            environment,
            self.configuration,
            settings,
            self.ratings,
            self.rollouts,
        )
        self.versions = versions.Versions(environment, self.configuration)
        self.claims = claims.Claims(environment, rows)
        self.bills = bills.Bills(
            environment,
            settings,
            self.incarnation,
            rows,
            holders.Holders(
                environment.clock, settings, self.incarnation, self.peers
            ),
        )
        self.peer_server.register(messages.Kind.HOLD_BILLS, self.bills.hold)
        self.readers = readers.Readers(self.configuration, settings)
        self._draining = False
        self._requests = 0

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests."""
        return (
            not self._draining
            and self.configuration.revision > 0
            and self.freshness.may_start()
        )

    @property
    def draining(self) -> bool:
        """Whether the node is on its way to a planned stop."""
        return self._draining

    @property
    def live_nodes(self) -> int:
        """Nodes that share the limits of the fleet, with this one."""
        return 1 + len(self.settings.seeds)

    @property
    def requests(self) -> int:
        """Requests in progress."""
        return self._requests

    def peer_address(self, node: ids.NodeId) -> str | None:
        """Returns the address at which another node is reached."""
        if node in self.settings.peer_routes:
            return self.settings.peer_routes[node]
        seeds = {seed.node: seed.address for seed in self.settings.seeds}
        return seeds.get(node)

    def _roster(self) -> leases.Roster:
        seeds = {seed.node for seed in self.settings.seeds}
        return leases.Roster(sorted({*seeds, self.settings.node}), live=False)

    def _lease_names(self) -> list[ids.LeaseName]:
        config = self.configuration.config
        shards = {
            lease_policy.shard_name(upstream, self.settings.shards)
            for upstream in config.upstreams
        }
        rollouts = {
            ids.LeaseName(f'rollout/{name}') for name in config.rollouts
        }
        return sorted(shards | rollouts)

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
            state='leaving' if self._draining else 'alive',
            revision=self.configuration.revision,
            view=self.freshness.view.value,
            in_progress=self._requests,
            bills_held=self.bills.held,
            bills_held_for_others=self.bills.held_for_others,
            bills_at_risk=self.bills.at_risk,
            upstreams=[
                self._describe(upstream_id, upstream)
                for upstream_id, upstream in (
                    self.configuration.config.upstreams.items()
                )
            ],
        )

    def gauges(self) -> dict[str, float]:
        """Returns the node's gauges by metric name."""
        return {
            'radishcourse_revision': self.configuration.revision,
            'radishcourse_requests_in_progress': self._requests,
            'radishcourse_bills_held': self.bills.held,
            'radishcourse_bills_held_for_others': self.bills.held_for_others,
            'radishcourse_bills_at_risk': self.bills.at_risk,
            'radishcourse_bills_bytes': self.bills.held_bytes,
            'radishcourse_held_bytes': self.readers.total,
            'radishcourse_held_bytes_most': self.readers.most,
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
                self.leases,
                self.upstreams,
                self.orders,
                self.bills,
                self.quality,
                self.rollouts,
            ):
                tasks.start_soon(self._supervise, controller)
            tasks.start_soon(self._serve_peers)
            tasks.start_soon(self._drain_on_signal, server)
            await server.serve()
            # Nothing is left to stop; a signal must not change the exit code.
            for number in _STOP_SIGNALS:
                signal.signal(number, signal.SIG_IGN)
            await self._finish_bills()
            await self.leases.release()
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
            http=functools.partial(
                connections.Connection,
                header_limit_s=self.settings.header_limit_s,
            ),
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            proxy_headers=False,
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
        # Handlers of the event loop would be removed before the process ends,
        # and a second signal in that moment would kill it.
        loop = asyncio.get_running_loop()
        stopping = anyio.Event()
        for number in _STOP_SIGNALS:
            signal.signal(
                number,
                lambda *_: loop.call_soon_threadsafe(stopping.set),
            )
        await stopping.wait()
        self._draining = True
        events.log(events.Event.NODE_DRAINING, in_progress=self._requests)
        await anyio.sleep(self.settings.drain_delay_s)
        server.should_exit = True

    async def _finish_bills(self) -> None:
        if not await self.bills.finish():
            events.log(
                events.Event.BILLS_LEFT,
                held=self.bills.held,
                at_risk=self.bills.at_risk,
            )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self.peers.aclose()
        await self.upstreams.aclose()
        await self.ratings.aclose()


def _note_reject(reason: str) -> None:
    events.log(events.Event.PEER_REJECTED, reason=reason)


@contextlib.asynccontextmanager
async def open_node(environment, settings):
    """Yields a node and closes its connections at the end."""
    async with http.open_http(settings.platform) as platform:
        node = Node(environment, settings, platform)
        try:
            yield node
        finally:
            with anyio.CancelScope(shield=True):
                await node.aclose()
