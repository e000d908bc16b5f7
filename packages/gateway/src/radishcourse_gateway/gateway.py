"""The gateway process: controllers, listeners, settings reload, shutdown."""

import asyncio
import contextlib
import functools
import signal
import typing

import anyio
import uvicorn

from radishcourse_gateway import autoscaler  # noqa: F401  Registers a duty.
from radishcourse_gateway import brittleupstreams
from radishcourse_gateway import crashes
from radishcourse_gateway import directory as directories
from radishcourse_gateway import duties
from radishcourse_gateway import errors
from radishcourse_gateway import feed
from radishcourse_gateway import forwarder
from radishcourse_gateway import headernames
from radishcourse_gateway import interfaces
from radishcourse_gateway import limits
from radishcourse_gateway import load
from radishcourse_gateway import pages
from radishcourse_gateway import peers
from radishcourse_gateway import reachability
from radishcourse_gateway import records
from radishcourse_gateway import relay
from radishcourse_gateway import requesthandler
from radishcourse_gateway import retrybudgets
from radishcourse_gateway import rollouts
from radishcourse_gateway import settings as gateway_settings
from radishcourse_gateway import targets
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import usagereports  # noqa: F401  Registers a duty.
from radishcourse_gateway import verifier
from radishcourse_gateway import view
from radishcourse_node import connections
from radishcourse_node import environment as environments
from radishcourse_node import events
from radishcourse_node import metrics
from radishcourse_node import resources
from radishcourse_node import serving
from radishcourse_node import timeouts

MAX_HEAD_BYTES = 64 * 1024
# The request head must arrive within this time, else the connection is closed.
# Callers are expected to keep the installation's own limit, a few seconds.
HEADER_TIMEOUT_S = 30.0
# Idle timeout of callers' connections until a configuration sets it.
DEFAULT_IDLE_TIMEOUT_S = 60
SWEEP_INTERVAL_S = 1.0
# The settings file may change without a SIGHUP.
RELOAD_INTERVAL_S = 2.0
# The balancer removes a node after two failed probes, one second apart.
DRAIN_DELAY_S = 2.5
# A draining node still serves requests that can end in time, because the
# balancer sends to all nodes of a zone while fewer than half of them are ready.
# The listener is closed this long before the stop deadline, or earlier once no
# request has arrived for IDLE_BEFORE_CLOSE_S.
LISTENER_CLOSE_S = 2.5
IDLE_BEFORE_CLOSE_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.1
# Reserved at the end of the stop for closing connections.
CONNECTION_CLOSE_S = 0.4
# Requests that are still in progress end this long before the stop deadline, so
# that the gateway itself tells their callers what is known of them.
REQUEST_END_S = CONNECTION_CLOSE_S + 0.3
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Gateway:
    """One gateway process.

    Args:
      environment: Clock and random source.
      settings: Settings at the start.
      header_names: Header names of the installation.
      store: The platform's store.
      decoder: Decodes the store's rows.
      load_settings: Reads the settings file again; raises `SettingsError`.
      control_api: The platform's second interface, None if there is none.

    Attributes:
      control_api: The platform's second interface, None if there is none.
      current_settings: The settings in force.
      timeouts: Timeouts that leave out the lateness of this process.
      metrics: Request metrics.
      resources: What callers and other clients may use.
      replica: The node's copy of the followed tables.
      view: Configuration, roll-out orders, zones and upstreams.
      load: This node's requests in progress and failures by upstream.
      peers: The other nodes.
      rollouts: Roll-outs that are in progress.
      limits: Limits that upstreams name.
      reachability: Services whose upstreams this node can't reach.
      brittle: Upstreams that refusals make fall over.
      crashes: Crashes of upstreams and quarantined prompts.
      duties: Duties that one node at a time performs.
      pool: Idle connections to upstreams.
      targets: Chooses the upstream for an attempt.
      retry_budgets: Pay for attempts beyond a request's first.
      forwarder: Forwards requests to upstreams.
      relay: Forwards requests, through a peer if no upstream can be reached.
    """

    def __init__(
        self,
        environment: environments.Environment,
        settings: gateway_settings.Settings,
        header_names: headernames.HeaderNames,
        store: interfaces.Store,
        decoder: interfaces.Decoder,
        load_settings: typing.Callable[[], gateway_settings.Settings],
        control_api: interfaces.ControlApi | None = None,
    ):
        self.environment = environment
        self.current_settings = gateway_settings.CurrentSettings(settings)
        self._load_settings = load_settings
        self._reload_requested = anyio.Event()
        self.header_names = header_names
        self.store = store
        self.control_api = control_api
        clock = environment.clock
        self.timeouts = timeouts.Timeouts(clock)
        self.metrics = metrics.Metrics()
        self.resources = resources.from_settings(clock, settings)
        self.replica = records.Replica(clock)
        self.view = view.View(clock, decoder)
        self.load = load.Load(clock)
        self.peers = peers.Peers(
            self.current_settings,
            clock,
            environment.random,
            self.replica,
            self.view,
            self.timeouts,
            self.resources,
        )
        self.rollouts = rollouts.Rollouts(self)
        self.peers.rollouts = self.rollouts
        self.peers.load = self.load
        self.limits = limits.Limits(self)
        self.peers.limits = self.limits
        self.reachability = reachability.Reachability(self)
        self.load.is_cut_off = self.reachability.is_cut_off
        self.brittle = brittleupstreams.BrittleUpstreams(self)
        self.crashes = crashes.Crashes(self)
        self.peers.crashes = self.crashes
        self.duties = duties.Duties(self)
        self.peers.duties = self.duties
        self.view.on_replaced = self.crashes.note_absent
        self.verifier = verifier.Verifier(self)
        self.pool = upstreamconnections.Pool(clock, self.timeouts.fail_after)
        self.targets = targets.Targets(self)
        self.retry_budgets = retrybudgets.RetryBudgets(self)
        self.forwarder = forwarder.Forwarder(self)
        self.relay = relay.Relay(self)
        self._feeds = [
            feed.Feed(
                clock,
                store,
                self.replica,
                self.view,
                table,
                self.peers.watch_phase,
                lambda: self.current_settings.value.bounds.propagation_s,
            )
            for table in records.Table
        ]
        self._draining = False
        self._stop_at: float | None = None
        self._request_scopes: set[anyio.CancelScope] = set()
        self._last_request_at = 0.0
        self._requests_in_progress = 0
        self._count_dropped_lines = lambda: 0
        self._last_settings_error = ''

    @property
    def unready_reason(self) -> str:
        """Why the node is not ready, as the readiness probe returns it.

        Empty when the node is ready.
        """
        if self._draining:
            return 'draining'
        if self.view.directory is None:
            return 'no configuration'
        if self.replica.position(records.Table.UPSTREAMS).is_start:
            return 'no list of upstreams'
        return ''

    @property
    def draining(self) -> bool:
        """Whether the node has received a stop signal."""
        return self._draining

    @property
    def requests_end_at(self) -> float | None:
        """When requests must have ended, None without a planned stop."""
        if self._stop_at is None:
            return None
        return self._stop_at - REQUEST_END_S

    def may_outlast_stop(self, route: directories.Route) -> bool:
        """Tells whether a new request may not end before a planned stop.

        Until the balancer has had time to notice that the node is draining,
        streams are taken, which another node can resume, and so is everything
        if there is no other node.
        """
        if self._stop_at is None:
            return False
        now = self.environment.clock.now()
        if now + route.timeout_s <= self.requests_end_at:
            return False
        stop_s = self.current_settings.value.bounds.stop_s
        if self._stop_at - now <= stop_s - DRAIN_DELAY_S:
            return True
        return not route.resumable and bool(self.peers.alive)

    @contextlib.contextmanager
    def limit_by_stop(self, scope: anyio.CancelScope):
        """Returns a context in which a planned stop limits a scope's time."""
        self._request_scopes.add(scope)
        self._limit_scope(scope)
        try:
            yield
        finally:
            self._request_scopes.discard(scope)

    def _limit_scope(self, scope: anyio.CancelScope) -> None:
        if self._stop_at is not None:
            left_s = self.requests_end_at - self.environment.clock.now()
            scope.deadline = min(scope.deadline, anyio.current_time() + left_s)

    @contextlib.contextmanager
    def count_request(self):
        """Returns a context that counts a request as in progress."""
        self._requests_in_progress += 1
        self._last_request_at = self.environment.clock.now()
        try:
            yield
        finally:
            self._requests_in_progress -= 1

    def render_metrics(self) -> str:
        """Returns the metrics in the Prometheus text format."""
        directory = self.view.directory
        gauges = {
            'radishcourse_revision': directory.version if directory else 0,
            'radishcourse_requests_in_progress': self._requests_in_progress,
            'radishcourse_ready': int(not self.unready_reason),
            'radishcourse_peers_alive': len(self.peers.alive),
            'radishcourse_upstreams_listed': len(self.view.upstreams),
            'radishcourse_services_unreachable': len(
                self.reachability.unreachable
            ),
            'radishcourse_rows_unreadable': self.view.unreadable_rows,
            'radishcourse_log_lines_dropped': self._count_dropped_lines(),
            'radishcourse_parts_quarantined': len(
                self.crashes.quarantine.quarantined
            ),
            **self.resources.account.gauges(),
        }
        gauges.update(self.duties.gauges())
        for table in records.Table:
            confirmed_at = self.replica.confirmed_at(table)
            if confirmed_at is not None:
                age = self.environment.clock.now() - confirmed_at
                gauges[f'radishcourse_{table.value}_age_seconds'] = age
        return self.metrics.render(
            gauges, self.targets.expected_load.labelled_gauges()
        )

    def set_log_sink(self, sink) -> None:
        """Sets the log sink whose dropped lines the metrics report."""
        self._count_dropped_lines = lambda: sink.dropped

    async def serve(self) -> None:
        """Serves requests until SIGTERM or SIGINT, then drains.

        Raises:
          AddressError: Listening on an address failed.
        """
        settings = self.current_settings.value
        callers = await serving.listen(settings.listen)
        probes = [await serving.listen(settings.probe_listen)]
        if settings.metrics_listen:
            probes.append(await serving.listen(settings.metrics_listen))
        peer_listener = await serving.listen(settings.peer_listen)
        request_listeners = [callers, *await self.relay.listen()]
        server = self._make_server()
        probe_server = serving.make_server(
            pages.Pages(self), http=self._protocol(self.resources.pages)
        )
        events.log(
            events.Event.NODE_STARTED,
            node=settings.node,
            zone=settings.zone,
            incarnation=self.peers.incarnation,
            listen=settings.listen,
        )
        async with anyio.create_task_group() as tasks:
            for name, run in self._background_tasks(server):
                tasks.start_soon(serving.supervise, name, run)
            tasks.start_soon(self.peers.server.serve_on, peer_listener)
            tasks.start_soon(
                probe_server.serve,
                [serving.raw_socket(item) for item in probes],
            )
            tasks.start_soon(self._drain_on_signal, server)
            await server.serve(
                [serving.raw_socket(item) for item in request_listeners]
            )
            for number in _STOP_SIGNALS:
                signal.signal(number, signal.SIG_IGN)
            await self.duties.finish()
            tasks.cancel_scope.cancel()
        events.log(events.Event.NODE_STOPPED, node=settings.node)

    def _background_tasks(self, server):
        yield 'timeouts', self.timeouts.run
        yield 'peers', self.peers.run
        yield 'rollouts', self.rollouts.run
        yield 'reachability', self.reachability.run
        yield 'crashes', self.crashes.run
        yield 'duties', self.duties.run
        yield 'settings', self._reload_settings
        yield 'sweep', functools.partial(self._sweep, server)
        for item in self._feeds:
            yield 'feed', item.run

    def _make_server(self) -> uvicorn.Server:
        return serving.make_server(
            requesthandler.RequestHandler(self),
            http=self._protocol(self.resources.callers),
            date_header=False,
            h11_max_incomplete_event_size=MAX_HEAD_BYTES,
            timeout_keep_alive=DEFAULT_IDLE_TIMEOUT_S,
        )

    def _protocol(self, limit: resources.ConnectionLimit):
        return functools.partial(
            connections.Connection,
            header_limit_s=HEADER_TIMEOUT_S,
            shared=self.resources,
            limit=limit,
        )

    async def _sweep(self, server: uvicorn.Server) -> None:
        """Drops the state of upstreams that are no longer listed.

        Also applies the configured idle timeout to the server.
        """
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            present = {
                listed.incarnation
                for listed in self.view.upstreams.values()
                if listed.gone_at is None
            }
            gone = [key for key in self.pool.keys if key not in present]
            await self.pool.close_idle(gone)
            for table in records.Table:
                self.view.apply(self.replica.take_due(table), 'restored')
            self.load.forget(self.view.upstreams)
            self.crashes.forget(present)
            await self.relay.sweep()
            self.brittle.forget(present)
            self.targets.expected_load.forget(present)
            directory = self.view.directory
            if directory is not None:
                limit = directory.limits.idle_timeout_s
                server.config.timeout_keep_alive = limit

    async def _reload_settings(self) -> None:
        """Reloads the settings on SIGHUP and every RELOAD_INTERVAL_S."""
        while True:
            with anyio.move_on_after(RELOAD_INTERVAL_S):
                await self._reload_requested.wait()
            asked, self._reload_requested = (
                self._reload_requested.is_set(),
                anyio.Event(),
            )
            try:
                changed = self.current_settings.replace(self._load_settings())
            except errors.SettingsError as error:
                if str(error) != self._last_settings_error:
                    self._last_settings_error = str(error)
                    events.log(
                        events.Event.SETTINGS_CHANGED,
                        changed=[],
                        asked=asked,
                        error=str(error),
                    )
                continue
            self._last_settings_error = ''
            if changed or asked:
                events.log(
                    events.Event.SETTINGS_CHANGED, changed=changed, asked=asked
                )

    async def _drain_on_signal(self, server: uvicorn.Server) -> None:
        loop = asyncio.get_running_loop()
        stopping = anyio.Event()
        for number in _STOP_SIGNALS:
            signal.signal(
                number, lambda *_: loop.call_soon_threadsafe(stopping.set)
            )
        signal.signal(
            signal.SIGHUP,
            lambda *_: loop.call_soon_threadsafe(
                lambda: self._reload_requested.set()
            ),
        )
        await stopping.wait()
        self._draining = True
        stop_s = self.current_settings.value.bounds.stop_s
        self._stop_at = self.environment.clock.now() + stop_s
        for scope in self._request_scopes:
            self._limit_scope(scope)
        events.log(
            events.Event.NODE_DRAINING, in_progress=self._requests_in_progress
        )
        await anyio.sleep(DRAIN_DELAY_S)
        while not self._may_close_listener():
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        # The listener may close early, and requests still come on connections
        # that are open: uvicorn must not cancel them before their own limit.
        left_s = self._stop_at - self.environment.clock.now()
        server.config.timeout_graceful_shutdown = max(
            0.0, left_s - CONNECTION_CLOSE_S
        )
        server.should_exit = True

    def _may_close_listener(self) -> bool:
        now = self.environment.clock.now()
        idle = (
            now - self._last_request_at > IDLE_BEFORE_CLOSE_S
            and not self._requests_in_progress
        )
        return idle or now > self._stop_at - LISTENER_CLOSE_S

    async def aclose(self) -> None:
        """Closes the connections to peers and upstreams."""
        await self.peers.aclose()
        await self.relay.aclose()
        await self.pool.aclose()


@contextlib.asynccontextmanager
async def open_gateway(
    environment,
    settings,
    header_names,
    store,
    decoder,
    load_settings,
    control_api=None,
):
    """Yields a gateway and closes its connections on exit.

    The arguments are those of `Gateway`.
    """
    gateway = Gateway(
        environment,
        settings,
        header_names,
        store,
        decoder,
        load_settings,
        control_api,
    )
    try:
        yield gateway
    finally:
        with anyio.CancelScope(shield=True):
            await gateway.aclose()
