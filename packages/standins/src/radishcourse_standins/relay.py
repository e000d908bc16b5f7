"""A minimal HTTP relay (uvicorn to httpcore), the benchmark's baseline."""

import anyio
import fire
import httpcore

from radishcourse_standins import asgi


class Relay:
    """An ASGI application that forwards each request to one upstream.

    Args:
      target: Address of the upstream.
    """

    def __init__(self, target: str):
        self._target = target
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1024, keepalive_expiry=30
        )

    async def __call__(self, scope, receive, send) -> None:
        """Forwards one HTTP request and streams the response back."""
        body = b''
        more = True
        while more:
            message = await receive()
            body += message.get('body', b'')
            more = message.get('more_body', False)
        async with self._pool.stream(
            scope['method'],
            f'http://{self._target}{scope["path"]}',
            headers=[(b'content-type', b'application/json')],
            content=body,
        ) as response:
            await send(
                {
                    'type': 'http.response.start',
                    'status': response.status,
                    'headers': response.headers,
                }
            )
            async for part in response.aiter_stream():
                await send(
                    {
                        'type': 'http.response.body',
                        'body': part,
                        'more_body': True,
                    }
                )
            await send({'type': 'http.response.body', 'body': b''})


def serve(target: str, host: str = '127.0.0.1', port: int = 9500) -> None:
    """Serves the relay; `target` is the address of the upstream."""

    async def main() -> None:
        await asgi.serve(Relay(target), host, port, http='h11')

    anyio.run(main)


if __name__ == '__main__':
    fire.Fire(serve)
