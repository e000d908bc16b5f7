"""Callers of the gateway soak, which keep connections until they break."""

import concurrent.futures
import contextlib
import dataclasses
import http.client
import itertools
import random
import threading
import time

from tests import site as sites
from tests import sitefiles

# Time that a caller waits between requests.
PAUSE_S = 0.03
# Longer than any answer may take.
TIMEOUT_S = sitefiles.BUDGET_MS / 1000 + 4
REQUESTS = (
    ('order', 'POST', b'an order'),
    ('stock', 'GET', None),
    ('draft', 'POST', b'a prompt'),
)
CONNECTION_ERRORS = (OSError, http.client.HTTPException)


@dataclasses.dataclass
class Call:
    """A request and the answer that its caller received.

    Attributes:
      request: The request's id.
      gateway: Name of the gateway that it was sent to.
      kind: `order`, `stock` or `draft`, the first part of the path.
      target: The request's path.
      key: API key of the caller's organisation.
      session: The session's id.
      sent_at: When it was sent, on the monotonic clock in seconds.
      done_at: When the answer was complete or the connection failed.
      status: HTTP status, 0 without an answer.
      whole: Whether the answer was complete.
      stamp: The upstream that the answer names as its source.
      retry_after: The Retry-After header, in seconds; empty without one.
      body: The answer's body, as far as it was received.
    """

    request: str
    gateway: str
    kind: str
    target: str
    key: str
    session: str
    sent_at: float
    done_at: float = 0.0
    status: int = 0
    whole: bool = False
    stamp: str = ''
    retry_after: str = ''
    body: bytes = b''


class _Caller:
    def __init__(self, site, number: int, seed: int, stop: threading.Event):
        self._site = site
        self._number = number
        self._random = random.Random(f'{seed}/{number}')
        self._stop = stop
        self._turns = itertools.count()
        self._connections: dict[str, http.client.HTTPConnection] = {}
        self.calls: list[Call] = []

    def run(self) -> None:
        """Sends requests until the caller is stopped."""
        while not self._stop.is_set():
            self._call()
            time.sleep(PAUSE_S)
        for connection in self._connections.values():
            connection.close()

    def _call(self) -> None:
        turn = next(self._turns)
        kind, method, body = self._random.choice(REQUESTS)
        name = self._random.choice(sorted(self._site.gateways))
        call = Call(
            request=f'{name}-{self._number}-{turn}',
            gateway=name,
            kind=kind,
            target=f'/{kind}/{self._number}-{turn}',
            key=self._random.choice((sitefiles.KEY, sitefiles.OTHER_KEY)),
            session=f'session-{self._number}-{turn // 20}',
            sent_at=time.monotonic(),
        )
        headers = {
            'Host': sitefiles.HOST,
            'X-Request-Id': call.request,
            'X-Time-Budget-Ms': str(sitefiles.BUDGET_MS),
            'Api-Key': call.key,
            'Session': call.session,
        }
        try:
            self._exchange(call, method, body, headers)
        except CONNECTION_ERRORS:
            self._connections.pop(name).close()
        call.done_at = time.monotonic()
        self.calls.append(call)

    def _exchange(self, call: Call, method, body, headers) -> None:
        connection = self._connections.get(call.gateway)
        if connection is None:
            process = self._site.gateways[call.gateway]
            connection = self._connections[call.gateway] = (
                http.client.HTTPConnection(
                    process.host, process.port, timeout=TIMEOUT_S
                )
            )
        connection.request(method, call.target, body, headers)
        response = connection.getresponse()
        call.status = response.status
        call.stamp = response.headers.get('x-server-stamp', '')
        call.retry_after = response.headers.get('retry-after', '')
        try:
            call.body = response.read()
            call.whole = True
        except http.client.IncompleteRead as error:
            call.body = error.partial
            raise


@contextlib.contextmanager
def calling(site: sites.Site, count: int, seed: int):
    """Runs callers; yields a list that holds their calls after the exit."""
    stop = threading.Event()
    calls: list[Call] = []
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        callers = [_Caller(site, number, seed, stop) for number in range(count)]
        running = [pool.submit(caller.run) for caller in callers]
        try:
            yield calls
        finally:
            stop.set()
            for future in running:
                future.result()
    for caller in callers:
        calls += caller.calls


def serves(site: sites.Site, name: str) -> bool:
    """Tells whether a gateway serves each kind of request."""
    try:
        answers = [
            site.send(name, method, f'/{kind}/recovery', body)
            for kind, method, body in REQUESTS
        ]
    except CONNECTION_ERRORS:
        return False
    return all(answer.status == 200 and answer.whole for answer in answers)
