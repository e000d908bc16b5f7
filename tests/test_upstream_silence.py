"""Sound upstreams that are silent for about a second, and upstreams that end.

The kernel of a silent machine neither acknowledges nor sends. A filter on the
receiving socket that drops all packets makes one without privileges.
"""

import concurrent.futures
import contextlib
import ctypes
import itertools
import signal
import socket
import struct
import time

import anyio
import testtools

from radishcourse_gateway import errors
from radishcourse_gateway import upstreamconnections
from radishcourse_node import events
from radishcourse_node import timeouts
from radishcourse_policy import clock as clocks
from tests import rawsite
from tests import rawworker
from tests import test_gateway_path

# A sound upstream may be silent for this long.
SILENCE_S = 1.5
# An upstream without power has to be noticed within this time of the last
# packet that it was sent or that it sent, up to a keep-alive interval earlier.
NOTICED_S = 4.25
# How long a worker is stopped, less than that.
PAUSE_S = 1.3
CALLERS = 8
EVENTS = 30
PROMPT = {'X_Model': 'small', 'X_Prompt_Prefix': '5c1e07a2:800'}
# Events by which a gateway blames an upstream or a prompt.
BLAMED = {
    events.Event.UPSTREAM_DOUBTED.value,
    events.Event.UPSTREAM_CRASHED.value,
    events.Event.PROMPT_QUARANTINED.value,
}
# Time that timers and this machine add to what is measured.
MARGIN_S = 0.5
# From <asm-generic/socket.h>; Python names neither.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
# The classic BPF instruction `ret #0`: accept no byte of a packet.
_DROP_ALL = struct.pack('HBBI', 0x06, 0, 0, 0)
# Retransmission timeouts of connections within a region (Linux has 0.2 s as the
# least and adds the round-trip time).
RETRANSMIT_S = tuple(number / 1000 for number in range(200, 300, 5))


def _keepalive_end_s(options: dict[int, int]) -> tuple[float, float]:
    """Returns how an idle connection to a silent peer ends by tcp(7).

    With a user timeout the count of probes has no effect: the first time at
    which a probe is due and the timeout has passed since the last packet of the
    peer ends the connection, if a probe was sent before.

    Args:
      options: Values of socket options.

    Returns:
      The shortest silence that ends it, and the time since the last packet
      until it ends, both in seconds.
    """
    idle_s = options[socket.TCP_KEEPIDLE]
    interval_s = options[socket.TCP_KEEPINTVL]
    user_s = options[socket.TCP_USER_TIMEOUT] / 1000
    for probes in itertools.count(1):
        at_s = idle_s + probes * interval_s
        by_count = not user_s and probes >= options[socket.TCP_KEEPCNT]
        if by_count or (user_s and at_s >= user_s):
            return (probes - 1) * interval_s, at_s


def _unacknowledged_end_s(
    user_s: float, timeout_s: float, with_probe: bool
) -> float:
    """Returns the shortest silence that ends a connection with data sent.

    Args:
      user_s: TCP_USER_TIMEOUT in seconds.
      timeout_s: The first retransmission timeout; it doubles.
      with_probe: Whether a tail loss probe precedes the retransmissions.
    """
    at_s, last_s = (timeout_s if with_probe else 0.0), 0.0
    for number in itertools.count():
        if at_s >= user_s:
            return last_s
        last_s = at_s
        at_s += timeout_s * 2**number


class SocketOptionsTest(testtools.TestCase):
    """Guards against a timeout that breaks connections to sound upstreams.

    With 1.5 s a single lost keep-alive probe ended an idle connection.
    """

    def _options(self) -> dict[int, int]:
        names = (
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_KEEPCNT,
            socket.TCP_USER_TIMEOUT,
        )

        async def read() -> dict[int, int]:
            with _listening() as listener:
                connection = await _connect(listener)
                raw = connection._stream.extra(
                    anyio.abc.SocketAttribute.raw_socket
                )
                self.assertTrue(
                    raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                )
                values = {
                    name: raw.getsockopt(socket.IPPROTO_TCP, name)
                    for name in names
                }
                await connection.aclose()
                return values

        return anyio.run(read)

    def test_silence_of_a_sound_upstream_ends_no_idle_connection(self):
        shortest_s, end_s = _keepalive_end_s(self._options())
        self.assertGreater(shortest_s, SILENCE_S)
        self.assertLessEqual(end_s, NOTICED_S)

    def test_count_of_probes_agrees_with_the_user_timeout(self):
        options = self._options()
        _, end_s = _keepalive_end_s(options)
        _, by_count_s = _keepalive_end_s(
            {**options, socket.TCP_USER_TIMEOUT: 0}
        )
        self.assertEqual(end_s, by_count_s)

    def test_silence_ends_no_connection_with_data_on_its_way(self):
        user_s = self._options()[socket.TCP_USER_TIMEOUT] / 1000
        for timeout_s, with_probe in itertools.product(
            RETRANSMIT_S, (False, True)
        ):
            shortest_s = _unacknowledged_end_s(user_s, timeout_s, with_probe)
            self.assertGreater(shortest_s, SILENCE_S, (timeout_s, with_probe))
        self.assertLessEqual(user_s, NOTICED_S)


@contextlib.contextmanager
def _listening():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        yield listener


async def _connect(listener) -> upstreamconnections.Connection:
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    fail_after = timeouts.Timeouts(clocks.MonotonicClock()).fail_after
    return await upstreamconnections.connect(address, 0.0, fail_after)


def _set_silent(peer: socket.socket, silent: bool) -> None:
    if not silent:
        peer.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        return
    code = ctypes.create_string_buffer(_DROP_ALL)
    program = struct.pack('HP', 1, ctypes.addressof(code))
    peer.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


class SilentMachineTest(testtools.TestCase):
    """Guards against answers lost to a second without packets."""

    def _call(self, before_s: float, silence_s: float, early: bool):
        """Sends a request to a peer that is silent for a time, then answers.

        Args:
          before_s: Seconds from the last packet to the silence.
          silence_s: Seconds of the silence.
          early: Whether the silence begins before the request is sent.

        Returns:
          The status of the answer, None without one, and the seconds from the
          beginning of the silence until the request ended.
        """
        return anyio.run(self._play, before_s, silence_s, early)

    async def _play(self, before_s, silence_s, early):
        with _listening() as listener:
            connection = await _connect(listener)
            peer, _ = listener.accept()
            outcome = []
            with peer:
                if early:
                    _set_silent(peer, True)
                started_at = time.monotonic()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_request, connection, outcome)
                    await anyio.sleep(before_s)
                    if not early:
                        _set_silent(peer, True)
                        started_at = time.monotonic()
                    while (
                        not outcome
                        and time.monotonic() - started_at < silence_s
                    ):
                        await anyio.sleep(0.02)
                    _set_silent(peer, False)
                    # The answer comes after the kernel had to give up or not.
                    await anyio.sleep(0.0 if outcome else NOTICED_S - silence_s)
                    with contextlib.suppress(OSError):
                        peer.sendall(b'HTTP/1.1 204 X\r\n\r\n')
                await connection.aclose()
                status, ended_at = outcome[0]
                return status, ended_at - started_at

    def test_idle_connection_survives_a_silent_second(self):
        for before_s in (0.9, 0.6):
            status, seconds = self._call(before_s, 1.4, early=False)
            self.assertEqual(204, status, (before_s, seconds))

    def test_request_sent_into_a_silent_second_is_answered(self):
        for silence_s in (1.3, 1.5):
            status, seconds = self._call(0.0, silence_s, early=True)
            self.assertEqual(204, status, (silence_s, seconds))

    def test_upstream_without_power_is_noticed(self):
        for early in (False, True):
            status, seconds = self._call(0.1, 60.0, early)
            self.assertIsNone(status)
            self.assertLess(seconds, NOTICED_S + MARGIN_S, early)
            self.assertGreater(seconds, SILENCE_S)


async def _request(
    connection: upstreamconnections.Connection, outcome: list
) -> None:
    try:
        head = await connection.request(
            b'POST',
            b'/',
            [(b'host', b'x'), (b'content-length', b'5')],
            b'goods',
            upstreamconnections.Arrival(),
        )
        outcome.append((head.status, time.monotonic()))
    except errors.UpstreamError:
        outcome.append((None, time.monotonic()))


class StoppedWorkerTest(test_gateway_path.SiteTest):
    """Guards against work run twice as its upstream paused for a second.

    The kernel of a worker that is stopped goes on acknowledging.
    """

    # Each request has retries left.
    retry_slack = 100_000

    def _play(self, method: str, path: str, pause_s: float = PAUSE_S):
        """Returns the answers to requests, one of whose workers is stopped.

        That is the one with the most of them.
        """
        earlier = {
            name: len(self.site.runs(name)) for name in self.site.workers
        }
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            calls = [
                pool.submit(self.send, method, path, b'goods', **PROMPT)
                for _ in range(CALLERS)
            ]
            time.sleep(0.15)
            new = {
                name: len(self.site.runs(name)) - count
                for name, count in earlier.items()
            }
            busiest = max(new, key=new.get)
            self.assertGreater(new[busiest], CALLERS // 3)
            self.site.workers[busiest].signal(signal.SIGSTOP)
            try:
                time.sleep(pause_s)
            finally:
                self.site.workers[busiest].signal(signal.SIGCONT)
            return [call.result() for call in calls]

    def setUp(self):
        super().setUp()
        for name in self.site.workers:
            delay_ms = 300 if name.startswith('desk') else 0
            self.site.set_behaviour(
                name, delay_ms=delay_ms, events=EVENTS, event_ms=50
            )

    def _check(self, method: str, path: str) -> None:
        before = len(self.site.log('gateway-1'))
        responses = self._play(method, path)
        self.assertEqual(
            [(200, True, 1)] * CALLERS,
            [
                (response.status, response.whole, len(self.runs_of(response)))
                for response in responses
            ],
        )
        log = self.site.log('gateway-1')[before:]
        self.assertEqual(set(), {line.get('event') for line in log} & BLAMED)

    def test_order_is_answered_after_a_pause(self):
        self._check('POST', '/order/1')

    def test_lookup_is_not_repeated_elsewhere(self):
        self._check('GET', '/stock/1')

    def test_streams_stay_at_their_upstream(self):
        self._check('POST', '/draft/1')

    def test_stream_silent_beyond_a_pause_goes_on_elsewhere(self):
        responses = self._play('POST', '/draft/1', 2.5)
        self.assertEqual(
            [(200, True)] * CALLERS,
            [(response.status, response.whole) for response in responses],
        )
        runs = [len(self.runs_of(response)) for response in responses]
        self.assertIn(2, runs)


class SilentProbeTest(rawsite.RawSiteTest):
    """Guards against whole answers that are lost to a silent second.

    An answer without length is whole only if its upstream still answers.
    """

    def test_answer_without_length_before_a_silence_is_whole(self):
        def reply(request: rawworker.Request) -> rawworker.Reply:
            data = rawworker.message(request, 200, b'whole', 'close')
            return rawworker.Reply(data, rawworker.End.CLOSE)

        def probe(request: rawworker.Request) -> rawworker.Reply:
            time.sleep(PAUSE_S)
            name = next(iter(self.started))
            extra = {'X_Instance_Id': name}
            body = b'{"boot":"raw","state":"warm","slots":64}'
            return rawworker.Reply(
                rawworker.message(request, 200, body, 'length', **extra)
            )

        with self.workers(reply, count=1) as script:
            script.probe = probe
            response = self.call('POST', '/raw-order/1')
            self.assertEqual((200, b'whole'), (response.status, response.body))
            self.assertEqual((1, 1), (len(script.requests), script.probes))
