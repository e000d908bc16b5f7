"""Stand-in for a model engine.

It generates deterministic text at a fixed rate, simulates cold starts,
reports its load with a delay, resumes and cancels streams, and accepts
orders with or without checking fencing tokens. The quality of an answer
depends on a hash of the request and the version. It is embedded in the text
as `[q=0.870]`, which only the rating stand-in reads.
"""

import collections
import contextlib
import hashlib
import secrets

import anyio
import fire
import msgspec

from radishcourse_standins import asgi
from radishcourse_standins import engineevents
from radishcourse_standins import engineorders
from radishcourse_standins import enginereports
from radishcourse_standins import enginesettings

MAX_KEPT_STREAMS = 1024
CACHED_PREFIXES = 64
CANCEL_CHECK_S = 0.02
# A router may rely on a warm state that was confirmed this long ago.
WARM_STALENESS_S = 1.0


class Engine:
    """The HTTP interface of the stand-in.

    Args:
      slots: Requests that run at once; others are queued.
      cold: Whether the engine starts cold.
      orders: Handler of orders.
    """

    def __init__(self, slots: int, cold: bool, orders: engineorders.Orders):
        self._settings = enginesettings.Settings()
        self._slots = anyio.Semaphore(slots)
        self._slot_count = slots
        self._orders = orders
        self._reports = enginereports.Reports(CACHED_PREFIXES)
        self._state = (
            enginesettings.State.COLD if cold else enginesettings.State.WARM
        )
        self._boot = secrets.token_hex(4)
        self._answered_cold = 0
        self._running = 0
        self._queued = 0
        self._streams: collections.OrderedDict[
            str, enginesettings.Completion
        ] = collections.OrderedDict()
        # Counts the cancellations and resumptions of a request; each ends the
        # generation that is in progress.
        self._generations: collections.Counter[str] = collections.Counter()
        self._cancels: list[str] = []
        # A request that arrives after its cancellation is refused.
        self._cancelled: set[str] = set()
        self._runs: collections.Counter[str] = collections.Counter()
        self._served: list[dict] = []
        # Requests received while cold: in progress, the most at once, and in
        # total (`_cold_total`).
        self._cold_work = 0
        self._max_cold = 0
        # The same for requests that arrived so long after the engine turned
        # cold that a router can no longer rely on a warm state.
        self._late_work = 0
        self._max_late = 0
        self._cold_since = anyio.current_time() - WARM_STALENESS_S
        self._cold_total = 0
        self.app = asgi.App(abort_on_disconnect=True)
        for method, path, handler in (
            ('POST', '/v1/chat/completions', self._complete),
            ('POST', '/v1/resume', self._resume),
            ('POST', '/v1/cancel', self._cancel),
            ('POST', '/v1/orders', orders.handle),
            ('GET', '/v1/cache-events', self._get_cache_events),
            ('GET', '/v1/state', self._get_state),
            ('POST', '/control/settings', self._configure),
            ('POST', '/control/state', self._set_state),
            ('GET', '/control/served', self._get_served),
        ):
            self.app.route(method, path)(handler)

    @property
    def _header_arguments(self) -> dict[str, str]:
        return {
            name.replace('-', '_'): value
            for name, value in self._headers.items()
        }

    @property
    def _headers(self) -> dict[str, str]:
        return {
            'x-engine-boot': self._boot,
            'x-engine-state': self._state.value,
        }

    async def _complete(self, request: asgi.Request) -> asgi.Response:
        job = request.json(enginesettings.Completion)
        if job.request_id in self._cancelled:
            return asgi.reply(
                {'error': 'cancelled'}, 409, **self._header_arguments
            )
        self._record_start(job)
        if _hash_fraction(job.request_id, 'fail') < self._settings.fail:
            return asgi.reply({'error': 'engine failed'}, 500)
        self._streams[job.request_id] = job
        while len(self._streams) > MAX_KEPT_STREAMS:
            self._streams.popitem(last=False)
        if job.stream:
            return self._stream(job, 0)
        tokens = [token async for token in self._generate(job, 0)]
        if job.request_id in self._cancelled:
            return asgi.reply(
                {'error': 'cancelled'}, 409, **self._header_arguments
            )
        body = {
            'request_id': job.request_id,
            'model': job.model,
            'version': job.version,
            'choices': [
                {
                    'index': 0,
                    'message': {
                        'role': 'assistant',
                        'content': ''.join(tokens),
                    },
                    'finish_reason': 'stop',
                }
            ],
            'usage': {'completion_tokens': len(tokens)},
        }
        response = asgi.reply(body)
        if _hash_fraction(job.request_id, 'truncate') < self._settings.truncate:
            body = response.body[: len(response.body) // 2]
            return asgi.Response(200, body, {**self._headers})
        return asgi.Response(
            200, response.body, {**response.headers, **self._headers}
        )

    def _record_start(self, job: enginesettings.Completion) -> None:
        self._runs[job.request_id] += 1
        self._reports.record_prefix(_prompt_prefix(job))
        self._served.append(
            {
                'request_id': job.request_id,
                'model': job.model,
                'version': job.version,
                'state': self._state.value,
                'in_progress': self._running + self._queued + 1,
                'at': anyio.current_time(),
            }
        )

    def _stream(
        self, job: enginesettings.Completion, start: int
    ) -> asgi.Response:
        headers = {'content-type': 'text/event-stream', **self._headers}
        events = engineevents.apply_disorder(
            self._events(job, start), self._settings.disorder
        )
        return asgi.Response(200, b'', headers, events)

    async def _events(self, job: enginesettings.Completion, start: int):
        cut = self._settings.cut_at
        if _hash_fraction(job.request_id, 'truncate') < self._settings.truncate:
            cut = job.max_tokens // 2
        index = start
        async with contextlib.aclosing(self._generate(job, start)) as tokens:
            async for token in tokens:
                yield engineevents.encode(job, index, {'content': token}, None)
                index += 1
                if cut and start == 0 and index >= cut:
                    return
        if index == job.max_tokens:
            yield engineevents.encode(
                job, index, {}, 'stop', completion_tokens=index
            )
            yield b'data: [DONE]\n\n'

    async def _generate(self, job: enginesettings.Completion, start: int):
        generation = self._generations[job.request_id]
        with self._track_cold_work():
            self._count(queued=1)
            try:
                await self._slots.acquire()
            finally:
                self._count(queued=-1)
            self._count(running=1)
            try:
                await self._wait(job, generation, self._first_token_s())
                for index in range(start, job.max_tokens):
                    if index > start:
                        seconds = self._settings.token_ms / 1000
                        await self._wait(job, generation, seconds)
                    if self._generations[job.request_id] != generation:
                        return
                    yield self._token(job, index)
                self._record_answer()
            finally:
                self._count(running=-1)
                self._slots.release()

    def _count(self, running: int = 0, queued: int = 0) -> None:
        self._running += running
        self._queued += queued
        self._reports.record_load(self._running, self._queued)

    @contextlib.contextmanager
    def _track_cold_work(self):
        cold = self._state is enginesettings.State.COLD
        late = (
            cold and anyio.current_time() - self._cold_since >= WARM_STALENESS_S
        )
        self._cold_work += cold
        self._cold_total += cold
        self._late_work += late
        self._max_cold = max(self._max_cold, self._cold_work)
        self._max_late = max(self._max_late, self._late_work)
        try:
            yield
        finally:
            self._cold_work -= cold
            self._late_work -= late

    async def _wait(
        self, job: enginesettings.Completion, generation: int, seconds: float
    ) -> None:
        """Waits for some time, or until the request's generation ends."""
        end = anyio.current_time() + seconds
        while (left := end - anyio.current_time()) > 0:
            if self._generations[job.request_id] != generation:
                return
            await anyio.sleep(min(left, CANCEL_CHECK_S))

    def _first_token_s(self) -> float:
        if self._state is enginesettings.State.COLD:
            return self._settings.cold_first_token_ms / 1000
        return self._settings.first_token_ms / 1000

    def _token(self, job: enginesettings.Completion, index: int) -> str:
        if index == 0:
            return f'[q={self._quality(job):.3f}] '
        padding = '.' * self._settings.padding
        return f'{job.request_id[-6:]}.{index} {padding}'

    def _quality(self, job: enginesettings.Completion) -> float:
        name = f'{job.model}/{job.version}'
        mean = self._settings.quality.get(name, 0.9)
        return 1.0 if _hash_fraction(job.request_id, name) < mean else 0.0

    def _record_answer(self) -> None:
        if self._state is not enginesettings.State.COLD:
            return
        self._answered_cold += 1
        if self._answered_cold >= self._settings.warm_after:
            self._state = enginesettings.State.WARM

    async def _resume(self, request: asgi.Request) -> asgi.Response:
        wanted = request.json(enginesettings.Resume)
        job = self._streams.get(wanted.request_id)
        if job is None:
            return asgi.reply({'error': 'no such stream'}, 404)
        self._generations[wanted.request_id] += 1
        self._cancelled.discard(wanted.request_id)
        return self._stream(job, wanted.from_index)

    async def _cancel(self, request: asgi.Request) -> asgi.Response:
        request_id = request.json(dict)['request_id']
        self._generations[request_id] += 1
        self._cancelled.add(request_id)
        self._cancels.append(request_id)
        return asgi.reply({})

    async def _get_cache_events(self, request: asgi.Request) -> asgi.Response:
        events = self._reports.events(
            int(request.query.get('after', 0)),
            self._settings.event_lag_ms / 1000,
            self._settings.event_gap_every,
        )
        return asgi.reply({'boot': self._boot, 'events': events})

    async def _get_state(self, request: asgi.Request) -> asgi.Response:
        del request
        lag_ms = self._settings.load_lag_ms
        load = self._reports.load(lag_ms / 1000)
        return asgi.reply(
            {
                'boot': self._boot,
                'state': self._state.value,
                'running': load.running,
                'queued': load.queued,
                'slots': self._slot_count,
                'age_ms': lag_ms,
                'models': self._orders.reported_models(),
                'role': self._orders.role,
            }
        )

    async def _configure(self, request: asgi.Request) -> asgi.Response:
        self._settings = request.json(enginesettings.Settings)
        return asgi.reply(self._settings)

    async def _set_state(self, request: asgi.Request) -> asgi.Response:
        wanted = request.json(dict)
        self._state = enginesettings.State(wanted['state'])
        if self._state is enginesettings.State.COLD:
            self._boot = secrets.token_hex(4)
            self._answered_cold = 0
            self._cold_since = anyio.current_time()
            self._reports.clear()
            if not wanted.get('keep_streams'):
                self._streams.clear()
        return asgi.reply({})

    async def _get_served(self, request: asgi.Request) -> asgi.Response:
        del request
        return asgi.reply(
            {
                'served': self._served,
                'max_cold': self._max_cold,
                'max_late': self._max_late,
                'cancels': self._cancels,
                'cold_total': self._cold_total,
                'orders': self._orders.accepted,
            }
        )


def _prompt_prefix(job: enginesettings.Completion) -> str:
    first = msgspec.json.encode(job.messages[:1])
    return hashlib.sha256(job.model.encode() + first).hexdigest()[:16]


def _hash_fraction(*parts: str) -> float:
    digest = hashlib.sha256('\0'.join(parts).encode()).digest()
    return int.from_bytes(digest[:6], 'big') / 2**48


def serve(
    host: str = '127.0.0.1',
    port: int = 9100,
    slots: int = 8,
    cold: bool = False,
    checks_fencing: bool = True,
    models: str | None = None,
    weights: str = '',
) -> None:
    """Serves the stand-in.

    Args:
      host: IP address to listen on.
      port: Port to listen on.
      slots: Requests that run at once.
      cold: Whether the engine starts cold.
      checks_fencing: Whether orders with an old fencing token are refused.
      models: Loaded `model/version`s separated by commas; without it the
        engine does not report its models.
      weights: Base URL of the weight store; loads take no time without it.
    """

    async def main() -> None:
        orders = engineorders.Orders(checks_fencing, models, weights)
        engine = Engine(slots, cold, orders)
        await asgi.serve(engine.app, host, port)

    anyio.run(main)


if __name__ == '__main__':
    fire.Fire(serve)
