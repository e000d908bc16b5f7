"""A fault-injecting TCP proxy for many links, with HTTP control endpoints.

`POST /control/links` adds links, `POST /control/faults` sets the fault of
some of them, and `GET /control/counts` returns the bytes that each one has
forwarded since its fault was last set.
"""

import enum
import functools

import anyio
import fire
import msgspec

from radishcourse_standins import asgi

CHUNK_BYTES = 64 * 1024

_CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class Mode(enum.Enum):
    """What a link does with its connections.

    REFUSE stops listening and closes existing connections; BLACKHOLE accepts
    connections but forwards nothing in the affected directions; RESET closes
    once `after_bytes` were forwarded in an affected direction; SLOW delays
    each chunk.
    """

    PASS = 'pass'
    REFUSE = 'refuse'
    BLACKHOLE = 'blackhole'
    RESET = 'reset'
    SLOW = 'slow'


class Direction(enum.Enum):
    """Direction that a fault affects; ANSWERS go back to the caller."""

    BOTH = 'both'
    REQUESTS = 'requests'
    ANSWERS = 'answers'


class Fault(msgspec.Struct):
    """The fault of some links.

    Attributes:
      links: Names of the links; empty for all.
      mode: What the links do.
      direction: Affected direction.
      after_bytes: Bytes forwarded before a reset.
      delay_ms: Delay of each chunk in SLOW mode.
    """

    links: list[str] = []
    mode: Mode = Mode.PASS
    direction: Direction = Direction.BOTH
    after_bytes: int = 0
    delay_ms: float = 0


class Link(msgspec.Struct):
    """A listening port on loopback and the address that it forwards to."""

    name: str
    port: int
    target: str


class _LinkState:
    def __init__(self, link: Link):
        self.link = link
        self.fault = Fault()
        self.changed = anyio.Event()
        self.forwarded = {Direction.REQUESTS: 0, Direction.ANSWERS: 0}
        self.scope: anyio.CancelScope | None = None
        self.closed = anyio.Event()

    def set_fault(self, fault: Fault) -> None:
        self.fault = fault
        self.forwarded = dict.fromkeys(self.forwarded, 0)
        self.changed.set()
        self.changed = anyio.Event()

    def affects(self, direction: Direction) -> bool:
        return self.fault.direction in (Direction.BOTH, direction)


class Proxy:
    """Forwards the links' connections and serves the control endpoints.

    Args:
      tasks: Task group in which the links run.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup):
        self._tasks = tasks
        self._links: dict[str, _LinkState] = {}
        self.app = asgi.App()
        self.app.route('POST', '/control/links')(self._set_links)
        self.app.route('POST', '/control/faults')(self._set_faults)
        self.app.route('GET', '/control/counts')(self._get_counts)

    async def _set_links(self, request: asgi.Request) -> asgi.Response:
        for link in request.json(list[Link]):
            state = _LinkState(link)
            self._links[link.name] = state
            await self._open(state)
        return asgi.reply({})

    async def _set_faults(self, request: asgi.Request) -> asgi.Response:
        fault = request.json(Fault)
        for name in fault.links or list(self._links):
            state = self._links[name]
            state.set_fault(fault)
            if fault.mode is not Mode.REFUSE:
                await self._open(state)
            elif state.scope is not None:
                state.scope.cancel()
                await state.closed.wait()
        return asgi.reply({})

    async def _open(self, state: _LinkState) -> None:
        if state.scope is not None:
            return
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=state.link.port
        )
        state.scope = anyio.CancelScope()
        state.closed = anyio.Event()
        self._tasks.start_soon(self._listen, state, listener)

    async def _listen(self, state: _LinkState, listener) -> None:
        with state.scope:
            await listener.serve(functools.partial(self._serve, state))
        await listener.aclose()
        state.scope = None
        state.closed.set()

    async def _get_counts(self, request: asgi.Request) -> asgi.Response:
        del request
        counts = {
            name: {
                direction.value: count
                for direction, count in state.forwarded.items()
            }
            for name, state in self._links.items()
        }
        return asgi.reply(counts)

    async def _serve(self, state: _LinkState, caller) -> None:
        host, _, port = state.link.target.rpartition(':')
        async with caller:
            try:
                target = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            async with target, anyio.create_task_group() as tasks:
                pumps = (
                    (caller, target, Direction.REQUESTS),
                    (target, caller, Direction.ANSWERS),
                )
                for source, sink, direction in pumps:
                    tasks.start_soon(
                        self._pump, state, source, sink, direction, tasks
                    )

    async def _pump(self, state, source, sink, direction, tasks) -> None:
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if not await self._forward(state, sink, direction, chunk):
                    break
        except _CONNECTION_ERRORS:
            pass
        tasks.cancel_scope.cancel()

    async def _forward(self, state, sink, direction, chunk) -> bool:
        while state.fault.mode is Mode.BLACKHOLE and state.affects(direction):
            await state.changed.wait()
        if state.fault.mode is Mode.SLOW and state.affects(direction):
            await anyio.sleep(state.fault.delay_ms / 1000)
        if state.fault.mode is Mode.RESET and state.affects(direction):
            remaining = state.fault.after_bytes - state.forwarded[direction]
            if remaining < len(chunk):
                await sink.send(chunk[: max(remaining, 0)])
                state.forwarded[direction] += max(remaining, 0)
                return False
        await sink.send(chunk)
        state.forwarded[direction] += len(chunk)
        return True


def serve(host: str = '127.0.0.1', port: int = 9400) -> None:
    """Serves the proxy; links are added through `/control/links`."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            proxy = Proxy(tasks)
            await asgi.serve(proxy.app, host, port)
            tasks.cancel_scope.cancel()

    anyio.run(main)


if __name__ == '__main__':
    fire.Fire(serve)
