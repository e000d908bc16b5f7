"""Demo: runs stand-ins and two nodes, and sends four kinds of requests."""

import io
import json
import pathlib
import sys
import tempfile
import time

import httpcore

from radishcourse_cli import environment as environments
from radishcourse_cli import main as cli
from radishcourse_standins import processes

EXAMPLE = pathlib.Path('examples/stroykrov')
KEY = 'demo-key-of-the-assistant'
BILL_TIMEOUT_S = 10.0


class DemoError(Exception):
    """A step of the demo failed."""


class Demo:
    """Sends the demo's requests and prints their results.

    Args:
      platform: Stand-in that stores the bills.
      nodes: Nodes that get the requests.
    """

    def __init__(self, platform: processes.Process, nodes: list):
        self._platform = platform
        self._nodes = nodes

    def run(self) -> None:
        """Sends a cascade job, a stream, a session and a repeated order.

        Raises:
          DemoError: A response or a bill was not as expected.
        """
        print(f'{"job":18}{"model/version":20}{"cost":>7}{"rating":>8}  bills')
        self._show('cascade job', self._chat('quote', 0))
        self._show('streaming job', self._stream('fixing-question', 1))
        first = self._chat('quote', 0, {'X-Radish-Session': 'new'})
        token = first['x-radish-session']
        second = self._chat('quote', 1, {'X-Radish-Session': token})
        if second['x-radish-model'] != first['x-radish-model']:
            raise DemoError('the session moved to another model')
        self._show('session, 1st job', first)
        self._show('session, 2nd job', second)
        self._show('order', self._order())

    def _chat(self, kind: str, node: int, headers=None) -> dict:
        body = {'messages': [{'role': 'user', 'content': 'Membrane, 80 m2'}]}
        reply = self._post(
            node, '/v1/chat/completions', body, kind, headers or {}
        )
        return _headers(reply)

    def _stream(self, kind: str, node: int) -> dict:
        body = {
            'messages': [{'role': 'user', 'content': 'Which screw?'}],
            'stream': True,
            'max_tokens': 12,
        }
        reply = self._post(node, '/v1/chat/completions', body, kind, {})
        events = reply.content.decode().split('\n\n')
        if events[-2] != 'data: [DONE]':
            raise DemoError('the stream did not end with [DONE]')
        data = events[-3].partition('data: ')[2]
        return json.loads(data)

    def _order(self) -> dict:
        name = f'order-{time.time_ns()}'
        headers = {'Idempotency-Key': name}
        path = '/v1/services/order-desk/orders'
        first = self._post(0, path, {'order': name}, '', headers)
        second = self._post(1, path, {'order': name}, '', headers)
        if first.content != second.content or b'"run":1' not in first.content:
            raise DemoError(
                'the responses differ or the order ran more than once: '
                f'{second.content!r}'
            )
        return _headers(first)

    def _post(self, node, path, body, kind, headers) -> httpcore.Response:
        reply = httpcore.request(
            'POST',
            self._nodes[node].url + path,
            headers={
                'Authorization': f'Bearer {KEY}',
                'X-Radish-Kind': kind,
                'Content-Type': 'application/json',
                **headers,
            },
            content=json.dumps(body).encode(),
        )
        if reply.status not in (200, 201):
            raise DemoError(f'{reply.status}: {reply.content.decode()}')
        return reply

    def _show(self, name: str, headers: dict) -> None:
        bills = self._wait_bills(headers['x-radish-request-id'])
        if len(bills) != 1:
            raise DemoError(f'{name} was billed {len(bills)} times')
        version = headers.get('x-radish-version', '')
        model_version = f'{headers["x-radish-model"]}/{version or "-"}'
        rating = headers.get('x-radish-rating', '-')
        cost = headers['x-radish-cost']
        print(f'{name:18}{model_version:20}{cost:>7}{rating:>8}  {len(bills)}')

    def _wait_bills(self, request_id: str) -> list:
        limit = time.monotonic() + BILL_TIMEOUT_S
        while time.monotonic() < limit:
            bills = [
                bill
                for bill in read_bills(self._platform)
                if bill[1] == request_id
            ]
            if bills:
                return bills
            time.sleep(0.2)
        return []


def read_bills(platform: processes.Process) -> list[list]:
    """Returns all bills stored in the platform's table."""
    url = f'{platform.url}/control/rows?prefix=bills/&limit=100000'
    rows = json.loads(httpcore.request('GET', url).content)['rows']
    return [bill for row in rows for bill in row['value']['bills']]


def _headers(reply: httpcore.Response) -> dict[str, str]:
    return {
        name.decode().lower(): value.decode() for name, value in reply.headers
    }


def apply(platform: processes.Process, folder: pathlib.Path) -> str:
    """Applies a configuration folder and returns its revision.

    Raises:
      DemoError: The configuration was not accepted.
    """
    stdout, stderr = io.StringIO(), io.StringIO()
    environment = environments.Environment(stdout, stderr, platform.url, 'demo')
    if cli.main(['apply', str(folder)], environment):
        raise DemoError(f'apply failed: {stderr.getvalue()}')
    return stdout.getvalue().strip()


def _make_config_folder(
    started: processes.Processes, upstreams: dict
) -> pathlib.Path:
    """Copies the example folder and overrides the upstreams' addresses."""
    folder = started.folder / 'config'
    folder.mkdir()
    for path in sorted(EXAMPLE.glob('*.json')):
        (folder / path.name).write_bytes(path.read_bytes())
    overlay = {
        'upstreams': {
            name: {'address': process.address}
            for name, process in upstreams.items()
        }
    }
    (folder / '90-addresses.json').write_text(json.dumps(overlay))
    return folder


def main() -> int:
    """Runs the demo and returns its exit code."""
    with (
        tempfile.TemporaryDirectory() as name,
        processes.started(pathlib.Path(name)) as started,
    ):
        platform = started.stand_in('platform')
        rating = started.stand_in('rating')
        upstreams = {
            'assistant-1': started.stand_in('engine', 'assistant-1'),
            'assistant-2': started.stand_in('engine', 'assistant-2'),
            'order-desk-1': started.stand_in('desk', 'order-desk-1'),
        }
        for process in (platform, rating, *upstreams.values()):
            processes.wait_http(process, '/v1/state', None)
        nodes = [
            started.node(
                {
                    'node': f'entry-{zone}',
                    'zone': zone,
                    'platform': platform.url,
                    'rating': rating.url,
                }
            )
            for zone in ('sofia-a', 'sofia-b')
        ]
        revision = apply(platform, _make_config_folder(started, upstreams))
        print(f'revision {revision} accepted')
        for node in nodes:
            processes.wait_http(node, '/readyz')
        try:
            Demo(platform, nodes).run()
        except DemoError as error:
            print(f'demo failed: {error}', file=sys.stderr)
            return 1
        for node in nodes:
            node.popen.terminate()
        return max(node.stop() for node in nodes)


if __name__ == '__main__':
    sys.exit(main())
