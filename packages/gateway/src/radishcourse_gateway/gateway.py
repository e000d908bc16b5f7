"""A gateway process: its controllers, its listeners, its stop."""

import asyncio
import contextlib
import functools
import signal
import typing

import anyio
import uvicorn

from radishcourse_gateway import channels
from radishcourse_gateway import dialect as dialects
from radishcourse_gateway import edge
from radishcourse_gateway import errors
from radishcourse_gateway import exchange
from radishcourse_gateway import feed
from radishcourse_gateway import load
from radishcourse_gateway import pages
from radishcourse_gateway import peers
from radishcourse_gateway import ports
from radishcourse_gateway import records
from radishcourse_gateway import rollouts
from radishcourse_gateway import settings as gateway_settings
from radishcourse_gateway import targets
from radishcourse_gateway import view
from radishcourse_node import connections
from radishcourse_node import environment as environments
from radishcourse_node import events
from radishcourse_node import metrics
from radishcourse_node import serving

MAX_HEAD_BYTES = 64 * 1024
# A head that is not whole by then is given up; callers of the users take less
# than their configured limit, a few seconds.
HEAD_LIMIT_S = 30.0
# How long idle connections are kept until a configuration tells it.
FIRST_IDLE_S = 60
SWEEP_S = 1.0
# The settings file may change without a signal.
REREAD_S = 2.0
# The balancer takes a node out after two misses, a second apart.
DRAIN_DELAY_S = 2.5
# A drained node still serves what ends in time: while less than half of a
# zone's nodes are ready the balancer sends to all of them. The listener is
# closed this long before the end of the stop, or when nothing came for a while.
LISTEN_END_S = 2.5
QUIET_S = 0.5
DRAIN_POLL_S = 0.1
# Time at the end of a stop that is left for closing.
CLOSING_S = 0.4
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Gateway:
    """One gateway process.

    Args:
      environment: Clock and random source.
      settings: Its settings.
      dialect: Header names of the installation.
      store: The platform's store.
      decoder: Reads the store's rows.
      reread: Returns the settings as they stand in their file now; raises
        `SettingsError`.
    """

    def __init__(
        self,
        environment: environments.Environment,
        settings: gateway_settings.Settings,
        dialect: dialects.Dialect,
        store: ports.Store,
        decoder: ports.Decoder,
        reread: typing.Callable[[], gateway_settings.Settings],
    ):
        self.environment = environment
        self.current = gateway_settings.Current(settings)
        self._reread = reread
        self._asked = anyio.Event()
        self.dialect = dialect
        self.store = store
        clock = environment.clock
        self.metrics = metrics.Metrics()
        self.replica = records.Replica()
        self.view = view.View(clock, decoder)
        self.load = load.Load(clock)
        self.peers = peers.Peers(
            self.current,
            clock,
            environment.random,
            self.replica,
            self.view,
        )
        self.rollouts = rollouts.Rollouts(self)
        self.peers.rollouts = self.rollouts
        self.peers.load = self.load
        self.pool = channels.Pool(clock)
        self.targets = targets.Targets(self)
        self.exchanges = exchange.Exchanges(self)
        self._feeds = [
            feed.Feed(
                clock,
                store,
                self.replica,
                self.view,
                table,
                self.peers.is_watcher,
            )
            for table in records.Table
        ]
        self._draining = False
        self._stops_at: float | None = None
        self._requested_at = 0.0
        self._requests = 0
        self._log_dropped = lambda: 0
        self._settings_error = ''

    @property
    def unready_reason(self) -> str:
        """Why the node takes no new connections, or an empty text."""
        if self._draining:
            return 'draining'
        if self.view.directory is None:
            return 'no configuration'
        if not self.replica.version(records.Table.UPSTREAMS):
            return 'no list of upstreams'
        return ''

    @property
    def draining(self) -> bool:
        """Whether the node is on its way to a planned stop."""
        return self._draining

    @property
    def time_left_s(self) -> float | None:
        """How long a new request may last, None when any may.

        While the balancer has not had the time to notice that the node
        drains, requests of any length are taken.
        """
        if self._stops_at is None:
            return None
        now = self.environment.clock.now()
        stop_s = self.current.value.bounds.stop_s
        if self._stops_at - now > stop_s - DRAIN_DELAY_S:
            return None
        return max(0.0, self._stops_at - now - CLOSING_S)

    @contextlib.contextmanager
    def count_request(self):
        """Counts a request while it is in progress."""
        self._requests += 1
        self._requested_at = self.environment.clock.now()
        try:
            yield
        finally:
            self._requests -= 1

    def render_metrics(self) -> str:
        """Returns the metrics in the Prometheus text format."""
        directory = self.view.directory
        gauges = {
            'radishcourse_revision': directory.version if directory else 0,
            'radishcourse_requests_in_progress': self._requests,
            'radishcourse_ready': int(not self.unready_reason),
            'radishcourse_peers_alive': len(self.peers.alive),
            'radishcourse_upstreams_listed': len(self.view.upstreams),
            'radishcourse_log_lines_dropped': self._log_dropped(),
        }
        for table in records.Table:
            confirmed_at = self.replica.confirmed_at(table)
            if confirmed_at is not None:
                age = self.environment.clock.now() - confirmed_at
                gauges[f'radishcourse_{table.value}_age_seconds'] = age
        return self.metrics.render(gauges)

    def count_dropped_by(self, sink) -> None:
        """Names the log's sink, whose drops the metrics show."""
        self._log_dropped = lambda: sink.dropped

    async def serve(self) -> None:
        """Serves callers until SIGTERM or SIGINT, then drains.

        Raises:
          AddressError: An address can't be listened on.
        """
        settings = self.current.value
        callers = await serving.listen(settings.listen)
        probes = [await serving.listen(settings.probe_listen)]
        if settings.metrics_listen:
            probes.append(await serving.listen(settings.metrics_listen))
        peer_listener = await serving.listen(settings.peer_listen)
        server = self._make_server()
        probe_server = serving.make_server(pages.Pages(self), http='h11')
        events.log(
            events.Event.NODE_STARTED,
            node=settings.node,
            zone=settings.zone,
            incarnation=self.peers.incarnation,
            listen=settings.listen,
        )
        async with anyio.create_task_group() as tasks:
            for name, run in self._tasks(server):
                tasks.start_soon(serving.supervise, name, run)
            tasks.start_soon(self.peers.server.serve_on, peer_listener)
            tasks.start_soon(
                probe_server.serve,
                [serving.raw_socket(item) for item in probes],
            )
            tasks.start_soon(self._drain_on_signal, server)
            await server.serve([serving.raw_socket(callers)])
            for number in _STOP_SIGNALS:
                signal.signal(number, signal.SIG_IGN)
            tasks.cancel_scope.cancel()
        events.log(events.Event.NODE_STOPPED, node=settings.node)

    def _tasks(self, server):
        yield 'peers', self.peers.run
        yield 'rollouts', self.rollouts.run
        yield 'settings', self._follow_settings
        yield 'sweep', functools.partial(self._sweep, server)
        for item in self._feeds:
            yield 'feed', item.run

    def _make_server(self) -> uvicorn.Server:
        return serving.make_server(
            edge.Edge(self),
            http=functools.partial(
                connections.Connection, header_limit_s=HEAD_LIMIT_S
            ),
            date_header=False,
            h11_max_incomplete_event_size=MAX_HEAD_BYTES,
            timeout_keep_alive=FIRST_IDLE_S,
            # uvicorn passes it on to asyncio.wait_for, which takes fractions.
            timeout_graceful_shutdown=LISTEN_END_S - CLOSING_S,
        )

    async def _sweep(self, server: uvicorn.Server) -> None:
        """Forgets what belongs to upstreams that are gone."""
        while True:
            await anyio.sleep(SWEEP_S)
            present = {
                listed.incarnation
                for listed in self.view.upstreams.values()
                if listed.gone_at is None
            }
            gone = [key for key in self.pool.keys if key not in present]
            await self.pool.drop(gone)
            self.load.forget(self.view.upstreams)
            directory = self.view.directory
            if directory is not None:
                limit = directory.limits.idle_timeout_s
                server.config.timeout_keep_alive = limit

    async def _follow_settings(self) -> None:
        """Reads the settings again, on a signal and from time to time."""
        while True:
            with anyio.move_on_after(REREAD_S):
                await self._asked.wait()
            asked, self._asked = self._asked.is_set(), anyio.Event()
            try:
                changed = self.current.replace(self._reread())
            except errors.SettingsError as error:
                if str(error) != self._settings_error:
                    self._settings_error = str(error)
                    events.log(
                        events.Event.SETTINGS_CHANGED,
                        changed=[],
                        asked=asked,
                        error=str(error),
                    )
                continue
            self._settings_error = ''
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
            lambda *_: loop.call_soon_threadsafe(lambda: self._asked.set()),
        )
        await stopping.wait()
        self._draining = True
        stop_s = self.current.value.bounds.stop_s
        self._stops_at = self.environment.clock.now() + stop_s
        events.log(events.Event.NODE_DRAINING, in_progress=self._requests)
        await anyio.sleep(DRAIN_DELAY_S)
        while not self._may_close():
            await anyio.sleep(DRAIN_POLL_S)
        server.should_exit = True

    def _may_close(self) -> bool:
        now = self.environment.clock.now()
        quiet = now - self._requested_at > QUIET_S and not self._requests
        return quiet or now > self._stops_at - LISTEN_END_S

    async def aclose(self) -> None:
        """Closes all connections."""
        await self.peers.aclose()
        await self.pool.aclose()


@contextlib.asynccontextmanager
async def open_gateway(environment, settings, dialect, store, decoder, reread):
    """Yields a gateway and closes its connections at the end."""
    gateway = Gateway(environment, settings, dialect, store, decoder, reread)
    try:
        yield gateway
    finally:
        with anyio.CancelScope(shield=True):
            await gateway.aclose()
