"""Runs a gateway whose connections to some addresses can be cut.

A file beside the settings file, with the suffix CUT_SUFFIX, holds the cut as
JSON; connections work while there is no such file.
"""

import enum
import functools
import json
import os
import pathlib
import sys

import anyio

from radishcourse_adapter import program
from radishcourse_gateway import errors
from radishcourse_gateway import upstreamconnections

CUT_SUFFIX = '.cut'
POLL_S = 0.05


class Mode(enum.Enum):
    """How connections fail.

    HANG: connects get no response. REFUSE: they are refused. RESET: they are
    refused, and open connections are reset. Open ones live on otherwise, but
    are not reused.
    """

    HANG = 'hang'
    REFUSE = 'refuse'
    RESET = 'reset'


def cut(folder: pathlib.Path, gateway: str, mode: Mode, addresses: list[str]):
    """Cuts a gateway's connections to addresses."""
    text = json.dumps({'mode': mode.value, 'addresses': addresses})
    partial = folder / f'{gateway}.partial'
    partial.write_text(text)
    partial.replace(folder / f'{gateway}{CUT_SUFFIX}')


def restore(folder: pathlib.Path, gateway: str) -> None:
    """Ends a gateway's cut."""
    (folder / f'{gateway}{CUT_SUFFIX}').unlink()


def _cut_mode(path: pathlib.Path, address: str) -> Mode | None:
    try:
        fields = json.loads(path.read_text())
    except FileNotFoundError:
        return None
    return Mode(fields['mode']) if address in fields['addresses'] else None


def _with_cut(connect, path: pathlib.Path):
    @functools.wraps(connect)
    async def connect_or_fail(address, now, fail_after):
        mode = _cut_mode(path, address)
        if mode in (Mode.REFUSE, Mode.RESET):
            raise upstreamconnections.ConnectionRefused('refused', False)
        if mode is Mode.HANG:
            try:
                with fail_after(upstreamconnections.CONNECT_TIMEOUT_S):
                    await anyio.sleep_forever()
            except TimeoutError as error:
                raise errors.UpstreamError('timed out', False) from error
        connection = await connect(address, now, fail_after)
        is_likely_open = connection.is_likely_open
        connection.is_likely_open = lambda at: (
            _cut_mode(path, address) is None and is_likely_open(at)
        )
        stream = connection._stream
        stream.receive = _with_reset(stream.receive, path, address)
        return connection

    return connect_or_fail


def _with_reset(receive, path: pathlib.Path, address: str):
    async def receive_or_fail(size):
        while _cut_mode(path, address) is not Mode.RESET:
            with anyio.move_on_after(POLL_S):
                return await receive(size)
        raise anyio.BrokenResourceError

    return receive_or_fail


def main() -> int:
    """Runs the gateway; returns the exit status."""
    path = pathlib.Path(os.environ[program.SETTINGS_VARIABLE])
    upstreamconnections.connect = _with_cut(
        upstreamconnections.connect, path.with_suffix(CUT_SUFFIX)
    )
    return program.main()


if __name__ == '__main__':
    sys.exit(main())
