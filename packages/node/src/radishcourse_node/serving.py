"""Listeners, servers and supervision of background tasks."""

import contextlib
import socket
import typing

import anyio
import uvicorn

from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_node import resources

RESTART_DELAY_S = 1.0
KERNEL_BACKLOG = 2048


class _Server(uvicorn.Server):
    """A server that accepts few connections at once.

    asyncio accepts up to `backlog` connections before it starts the protocol
    of any, so that as many may exceed the limit on connections.
    """

    async def startup(self, sockets=None) -> None:
        """Starts to accept; the kernel may queue more connections."""
        await super().startup(sockets)
        for item in sockets or ():
            item.listen(KERNEL_BACKLOG)


async def listen(address: str) -> anyio.abc.SocketListener:
    """Returns a listener on an `IP:port` address.

    Raises:
      AddressError: The address can't be listened on.
    """
    host, _, port = address.rpartition(':')
    try:
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), reuse_port=False
        )
    except OSError as error:
        raise errors.AddressError(f'{address}: {error}') from error
    return listener.listeners[0]


def raw_socket(listener: anyio.abc.SocketListener) -> socket.socket:
    """Returns the listener's socket, for uvicorn."""
    return listener.extra(anyio.abc.SocketAttribute.raw_socket)


def make_server(app, **options) -> uvicorn.Server:
    """Returns a server that leaves signals and logging to the process.

    On a second SIGTERM uvicorn's own signal handlers would cut off requests;
    the process starts its drain itself.

    Args:
      app: The ASGI application.
      options: Further uvicorn settings.
    """
    config = uvicorn.Config(
        app,
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        proxy_headers=False,
        backlog=resources.ACCEPTED_AT_ONCE,
        **options,
    )
    server = _Server(config)
    server.capture_signals = contextlib.nullcontext
    return server


async def supervise(
    name: str, run: typing.Callable[[], typing.Awaitable[None]]
) -> None:
    """Runs a task until cancelled; restarts it when it ends or fails."""
    while True:
        try:
            await run()
        except Exception as error:
            events.log(events.Event.TASK_FAILED, task=name, error=repr(error))
        await anyio.sleep(RESTART_DELAY_S)
