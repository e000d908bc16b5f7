"""The node process: wiring of its controllers, background tasks and drain."""

import asyncio
import contextlib
import functools
import secrets
import signal

import anyio
import uvicorn

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import app
from radishcourse_node import connections
from radishcourse_node import environment as environments
from radishcourse_node import events
from radishcourse_node import gossip
from radishcourse_node import metrics
from radishcourse_node import ratings
from radishcourse_node import resources
from radishcourse_node import serving
from radishcourse_node import settings as node_settings
from radishcourse_node import statuses
from radishcourse_node import timeouts
from radishcourse_node.controllers import admissions
from radishcourse_node.controllers import bills
from radishcourse_node.controllers import caches
from radishcourse_node.controllers import claims
from radishcourse_node.controllers import configuration
from radishcourse_node.controllers import freshness
from radishcourse_node.controllers import leases
from radishcourse_node.controllers import membership
from radishcourse_node.controllers import orders
from radishcourse_node.controllers import quality
from radishcourse_node.controllers import readers
from radishcourse_node.controllers import replication
from radishcourse_node.controllers import rollouts
from radishcourse_node.controllers import upstreams
from radishcourse_node.controllers import versions
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

MAX_INCOMPLETE_EVENT_BYTES = 32 * 1024
# Timeout of a read of the configuration; it also bounds how many run at once.
# A response that arrives after a later one still confirms or shows a change.
CONFIGURATION_TIMEOUT_S = 5.0
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Node:
    """One node process.

    Args:
      environment: Streams, clock and random source.
      settings: The node's settings.
      platform: Client of the platform.
      configuration_client: Client of the platform for reads of the
        configuration only, with a longer timeout; these reads must not wait
        for other calls.
    """

    def __init__(
        self,
        environment: environments.Environment,
        settings: node_settings.Settings,
        platform: http.Client,
        configuration_client: http.Client,
    ):
        self.environment = environment
        self.settings = settings
        self.incarnation = ids.Incarnation(
            f'{settings.node}.{secrets.token_hex(4)}'
        )
        own_credentials = credentials.Credentials(
            settings.node,
            self.incarnation,
            settings.peer_keys,
            settings.peer_key,
        )
        self.timeouts = timeouts.Timeouts(environment.clock)
        self.resources = resources.from_settings(environment.clock, settings)
        self.peers = peer_client.Client(
            own_credentials, self.timeouts.fail_after
        )
        self.peer_server = peer_server.Server(
            own_credentials,
            self.resources.reject_peer,
            self.resources.peers,
            self.resources.open_frame,
        )
        rows, store = table.Table(platform), objects.ObjectStore(platform)
        revision_source = revisions.Revisions(
            table.Table(configuration_client),
            objects.ObjectStore(configuration_client),
        )
        self.metrics = metrics.Metrics()
        self.freshness = freshness.Freshness(environment.clock)
        self.configuration = configuration.Configuration(
            settings,
            environment.clock,
            revision_source,
            self.freshness,
        )
        self.vms = vms.VmList(platform)
        self.membership = membership.Membership(self, self.vms)
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
        self.admissions = admissions.Admissions(self)
        self.ratings = ratings.Ratings(settings.rating, environment.clock)
        self.rollouts = rollouts.Rollouts(self, rows)
        self.quality = quality.Quality(self)
        self.versions = versions.Versions(environment, self.configuration)
        self.claims = claims.Claims(environment, rows, store)
        self.bills = bills.Bills(
            environment,
            settings,
            self.incarnation,
            rows,
            replication.BillReplicator(
                environment.clock,
                settings,
                self.incarnation,
                self.peers,
                self.membership,
            ),
            self.membership,
        )
        self.peer_server.register(
            messages.MessageKind.HOLD_BILLS, self.bills.hold_copies
        )
        self.readers = readers.Readers(
            self.configuration,
            settings,
            self.resources.unread_bytes,
        )
        self._draining = False
        self._requests = 0
        self._was_ready = False

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests to this node."""
        return not self.unready_reason

    @property
    def state(self) -> states.MemberState:
        """The member state that this node announces to peers."""
        if self._draining:
            return states.MemberState.LEAVING
        self._was_ready = self._was_ready or self.ready
        if self._was_ready:
            return states.MemberState.ALIVE
        return states.MemberState.JOINING

    @property
    def unready_reason(self) -> str:
        """Why the node is not ready; empty if it is ready."""
        if self._draining:
            return self.state.value
        if not self.configuration.revision:
            return 'no configuration'
        return '' if self.freshness.may_start() else 'stale_view'

    @property
    def draining(self) -> bool:
        """Whether the node drains before a planned stop."""
        return self._draining

    @property
    def requests(self) -> int:
        """Number of requests in progress."""
        return self._requests

    def peer_address(self, node: ids.NodeId) -> str | None:
        """Returns the peer address of another node, or None if unknown."""
        return self.membership.address(node)

    def _roster(self) -> leases.Roster:
        return leases.Roster(
            sorted({*self.membership.present, self.settings.node}),
            live=self.membership.settled,
        )

    def _lease_names(self) -> list[ids.LeaseName]:
        config = self.configuration.config
        shards = {
            lease_policy.shard_lease_name(upstream, self.settings.shards)
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

    def status(self) -> statuses.NodeStatus:
        """Returns the status of the node for operators."""
        return statuses.NodeStatus(
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
            bills_held_for_others=self.bills.held_for_others,
            bills_at_risk=self.bills.at_risk,
            upstreams=[
                self._upstream_status(upstream_id, upstream)
                for upstream_id, upstream in (
                    self.configuration.config.upstreams.items()
                )
            ],
            members=[
                statuses.describe_member(node, member)
                for node, member in sorted(self.membership.members.items())
            ],
        )

    def gauges(self) -> dict[str, float]:
        """Returns the node's gauges by metric name."""
        return {
            'radishcourse_revision': self.configuration.revision,
            'radishcourse_requests_in_progress': self._requests,
            'radishcourse_claims_waiting': self.claims.pending_count,
            'radishcourse_bills_held': self.bills.held,
            'radishcourse_bills_held_for_others': self.bills.held_for_others,
            'radishcourse_bills_at_risk': self.bills.at_risk,
            'radishcourse_bills_bytes': self.bills.held_bytes,
            'radishcourse_held_bytes': self.readers.total,
            'radishcourse_held_bytes_most': self.readers.peak,
            'radishcourse_ready': int(self.ready),
            **self.resources.account.gauges(),
        }

    def _upstream_status(
        self, upstream_id, upstream
    ) -> statuses.UpstreamStatus:
        health = self.upstreams.health.get(upstream_id)
        state = self.upstreams.state(upstream_id).value
        in_flight = health.in_flight if health else 0
        return statuses.UpstreamStatus(
            upstream_id, upstream.zone, state, in_flight
        )

    async def serve(self) -> None:
        """Serves callers until SIGTERM or SIGINT, then drains."""
        server = self._make_server()
        listener = await serving.listen(self.settings.listen)
        peer_listener = await serving.listen(self.settings.peer_listen)
        events.log(
            events.Event.NODE_STARTED,
            node=self.settings.node,
            incarnation=self.incarnation,
            listen=self.settings.listen,
        )
        async with anyio.create_task_group() as tasks:
            for controller in (
                self.timeouts,
                self.configuration,
                self.membership,
                self.leases,
                self.upstreams,
                self.orders,
                self.bills,
                self.quality,
                self.rollouts,
                self.claims,
            ):
                name = type(controller).__name__
                tasks.start_soon(serving.supervise, name, controller.run)
            tasks.start_soon(self.peer_server.serve_on, peer_listener)
            tasks.start_soon(self._drain_on_signal, server)
            await server.serve([serving.raw_socket(listener)])
            # No requests are left; a signal must not change the exit code now.
            for number in _STOP_SIGNALS:
                signal.signal(number, signal.SIG_IGN)
            await self.claims.finish()
            await self._finish_bills()
            await self.leases.release()
            tasks.cancel_scope.cancel()
        events.log(events.Event.NODE_STOPPED, node=self.settings.node)

    def _make_server(self) -> uvicorn.Server:
        return serving.make_server(
            app.App(self),
            http=functools.partial(
                connections.Connection,
                header_limit_s=self.settings.header_limit_s,
                shared=self.resources,
                limit=self.resources.callers,
            ),
            h11_max_incomplete_event_size=MAX_INCOMPLETE_EVENT_BYTES,
            timeout_graceful_shutdown=int(self.settings.drain_limit_s),
        )

    async def _drain_on_signal(self, server: uvicorn.Server) -> None:
        # The event loop removes its own signal handlers before the process
        # ends, and a second signal after that would kill the process.
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
        """Closes all connections to peers, upstreams and the rating service."""
        await self.peers.aclose()
        await self.upstreams.aclose()
        await self.ratings.aclose()


@contextlib.asynccontextmanager
async def open_node(environment, settings):
    """Yields a node and closes its connections at the end."""
    async with (
        http.open_client(settings.platform) as platform,
        http.open_client(
            settings.platform, CONFIGURATION_TIMEOUT_S
        ) as configuration_client,
    ):
        node = Node(environment, settings, platform, configuration_client)
        try:
            yield node
        finally:
            with anyio.CancelScope(shield=True):
                await node.aclose()
