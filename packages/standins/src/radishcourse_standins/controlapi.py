"""Stand-in for the second interface of the users' platform.

It takes usage reports and numbers of workers, and judges them by `dutyrules`.
"""

import enum
import time

import anyio
import fire
import msgspec

from radishcourse_standins import asgi
from radishcourse_standins import dutyrules

HANG_S = 60.0
PART = b'x' * 1024


class Mode(enum.Enum):
    """How the interface responds.

    BUSY responds 503 and LIMIT 429 without taking a call; REDIRECT points
    elsewhere; HANG takes a call and responds after 60 s; LOSE takes a call and
    closes the connection; ENDLESS takes a call and responds without an end.
    """

    UP = 'up'
    BUSY = 'busy'
    LIMIT = 'limit'
    REDIRECT = 'redirect'
    HANG = 'hang'
    LOSE = 'lose'
    ENDLESS = 'endless'


class Faults(msgspec.Struct):
    """Faults that `POST /control/faults` sets.

    Attributes:
      mode: How the interface responds.
      delay_s: Time until each response.
    """

    mode: Mode = Mode.UP
    delay_s: float = 0.0


class _Thaw(msgspec.Struct):
    """Says that a link recovers or a node wakes now.

    Attributes:
      seconds: Time for which calls are taken but not judged.
    """

    seconds: float


class _Usage(msgspec.Struct, rename='camel'):
    window_id: int
    counts: dict[str, int]


class _Scale(msgspec.Struct):
    service: str
    zone: str
    desired: int


class ControlApi:
    """The HTTP interface of the stand-in.

    Args:
      lease_s: Duration of leases in seconds.
    """

    def __init__(self, lease_s: float):
        self._rules = dutyrules.Rules(lease_s)
        self._faults = Faults()
        self._reports: list[dict] = []
        self._orders: list[dict] = []
        self._refused = 0
        self._judges_from = 0.0
        self.app = asgi.App()
        for method, path, handler in (
            ('POST', '/usage', self._usage),
            ('POST', '/scale', self._scale),
            ('POST', '/control/faults', self._set_faults),
            ('POST', '/control/thaw', self._thaw),
            ('GET', '/control/calls', self._list),
        ):
            self.app.route(method, path)(handler)

    async def _usage(self, request: asgi.Request) -> asgi.Response:
        if self._refuses:
            return self._refuse()
        report = request.json(_Usage)
        call = self._note(request, 'usage')
        self._rules.note_report(report.window_id, report.counts)
        self._reports.append(
            {
                'at': time.time(),
                'holder': call.holder,
                'token': call.token,
                'window': report.window_id,
                'counts': report.counts,
            }
        )
        return await self._respond()

    async def _scale(self, request: asgi.Request) -> asgi.Response:
        if self._refuses:
            return self._refuse()
        order = request.json(_Scale)
        call = self._note(request, f'scale {order.service} {order.zone}')
        self._orders.append(
            {
                'at': time.time(),
                'holder': call.holder,
                'token': call.token,
                **msgspec.to_builtins(order),
            }
        )
        return await self._respond()

    @property
    def _refuses(self) -> bool:
        return self._faults.mode in (Mode.BUSY, Mode.LIMIT, Mode.REDIRECT)

    def _refuse(self) -> asgi.Response:
        self._refused += 1
        if self._faults.mode is Mode.REDIRECT:
            return asgi.reply({}, 307, location='/usage')
        return asgi.reply({}, 503 if self._faults.mode is Mode.BUSY else 429)

    def _note(self, request: asgi.Request, subject: str) -> dutyrules.Call:
        call = dutyrules.Call(
            anyio.current_time(),
            subject,
            request.headers['x-lease-holder'],
            int(request.headers['x-fencing-token']),
        )
        if call.at >= self._judges_from:
            self._rules.note(call)
        return call

    async def _respond(self) -> asgi.Response:
        await anyio.sleep(self._faults.delay_s)
        if self._faults.mode is Mode.HANG:
            await anyio.sleep(HANG_S)
        if self._faults.mode is Mode.LOSE:
            raise asgi.DropConnection
        if self._faults.mode is Mode.ENDLESS:
            return asgi.Response(stream=_endless())
        return asgi.reply({})

    async def _set_faults(self, request: asgi.Request) -> asgi.Response:
        self._faults = request.json(Faults)
        return asgi.reply({})

    async def _thaw(self, request: asgi.Request) -> asgi.Response:
        seconds = request.json(_Thaw).seconds
        self._judges_from = anyio.current_time() + seconds
        return asgi.reply({})

    async def _list(self, request: asgi.Request) -> asgi.Response:
        del request
        return asgi.reply(
            {
                'reports': self._reports,
                'orders': self._orders,
                'refused': self._refused,
                'broken': self._rules.broken,
            }
        )


async def _endless():
    while True:
        yield PART
        await anyio.sleep(0.05)


def main(port: int, host: str = '127.0.0.1', lease_s: float = 3.0) -> None:
    """Serves the stand-in."""
    anyio.run(asgi.serve, ControlApi(lease_s).app, host, port)


if __name__ == '__main__':
    fire.Fire(main)
