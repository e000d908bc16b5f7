"""Sends requests to a cluster and records their results as a history."""

import collections
import concurrent.futures
import contextlib
import itertools
import json
import pathlib
import random
import tempfile

import httpcore
import hypothesis
from hypothesis import stateful
import msgspec

from tests import cluster as clusters
from tests import histories

ORDERS_PATH = '/v1/services/order-desk/orders'


class Recorder:
    """Sends requests and records the result of each.

    Args:
      cluster: Cluster under test.
      seed: Seed of random choices; part of the names of orders.
    """

    def __init__(self, cluster: clusters.Cluster, seed: int):
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.seed = seed
        self._calls: list[histories.Call] = []
        self._numbers = itertools.count(1)

    def new_name(self) -> str:
        """Returns an order name not used before in this run."""
        return f'o{self.seed}-{next(self._numbers)}'

    def order(
        self, node: str, name: str = '', keyed: bool = True, **options
    ) -> histories.Call:
        """Sends an order, by default with its name as idempotency key."""
        name = name or self.new_name()
        call = histories.Call('order', name, node, name if keyed else '')
        body = {'order': name}
        return self._send(call, ORDERS_PATH, body, {}, options)

    def chat(
        self, node: str, stream: bool = False, keyed: bool = False, **options
    ) -> histories.Call:
        """Sends a chat request, with an idempotency key if `keyed`."""
        name = options.pop('name', '') or self.new_name()
        call = histories.Call('stream' if stream else 'chat', name, node)
        call.key = name if keyed else ''
        body = {
            'messages': [{'role': 'user', 'content': name}],
            'stream': stream,
            'max_tokens': 12,
        }
        headers = {'X-Radish-Kind': 'tag'}
        return self._send(call, '/v1/chat/completions', body, headers, options)

    def send_random(self, node: str, **options) -> histories.Call:
        """Sends a random order, chat or stream, with or without a key."""
        drawn = self.rng.random()
        if drawn < 0.6:
            return self.order(node, keyed=drawn < 0.45, **options)
        return self.chat(node, drawn < 0.8, drawn < 0.65, **options)

    def repeat(
        self, call: histories.Call, node: str, **options
    ) -> histories.Call:
        """Sends a request again under its idempotency key."""
        if call.kind == 'order':
            return self.order(node, call.name, **options)
        return self.chat(
            node, call.kind == 'stream', True, name=call.name, **options
        )

    def _send(self, call, path, body, headers, options) -> histories.Call:
        self._calls.append(call)
        options = dict(options)
        headers = {**headers, **options.pop('headers', {})}
        if call.key:
            headers['Idempotency-Key'] = call.key
        try:
            reply = self.cluster.post(call.node, path, body, headers, **options)
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            call.note = repr(error)
            return call
        _read_reply(call, reply)
        return call

    def history(self) -> histories.History:
        """Returns the history so far, with runs and bills from the cluster."""
        runs_by_request: collections.Counter[str] = collections.Counter()
        runs_by_order: collections.Counter[str] = collections.Counter()
        for name, process in self.cluster.upstreams.items():
            if name.startswith('desk'):
                page = self.cluster.get(process, '/control/requests')
                runs_by_request.update(page.json)
                page = self.cluster.get(process, '/control/orders')
                runs_by_order.update(page.json)
            else:
                for item in self.cluster.served(name):
                    runs_by_request[item['request_id'].rpartition('-')[0]] += 1
        billed = [bill[1] for bill in self.cluster.bills()]
        return histories.History(
            self.seed,
            list(self._calls),
            dict(runs_by_order),
            dict(runs_by_request),
            billed,
        )

    def wait_bills(self, timeout_s: float = 30.0) -> None:
        """Waits until the bills match the answers, or until the time-out."""
        with contextlib.suppress(AssertionError):
            clusters.wait_until(
                lambda: not histories.billed_once(self.history()).violations,
                timeout_s,
            )


def _read_reply(call: histories.Call, reply: clusters.Reply) -> None:
    call.status, call.code = reply.status, reply.code
    headers = reply.headers
    call.request_id = headers.get('x-radish-request-id', '')
    call.repeated = headers.get('x-radish-repeated', '')
    call.outcome = headers.get('x-radish-outcome', '')
    if call.kind == 'order':
        done = call.status == 201
        call.whole = done and reply.json.get('order') == call.name
    elif call.kind == 'chat':
        call.whole = call.status == 200 and bool(reply.json['choices'])
    elif call.status == 200:
        _read_stream(call, reply.body)


def _read_stream(call: histories.Call, body: bytes) -> None:
    events = body.split(b'\n\n')
    call.whole = events[-2:] == [b'data: [DONE]', b'']
    for event in events:
        if event.startswith(b'event: radishcourse\n'):
            facts = json.loads(event.partition(b'data: ')[2])
            call.outcome = facts['x-radish-outcome']
        elif event.startswith(b'event: error\n'):
            call.outcome = 'failed'


@contextlib.contextmanager
def thread_pool(count: int):
    """Yields an executor with `count` threads; waits for all work on exit."""
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        yield pool


def run_machine(machine, examples: int) -> None:
    """Runs a hypothesis state machine on the same examples each time."""
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
        ),
    )


def check(case, recorder: Recorder) -> histories.History:
    """Checks a recorder's history and returns it.

    If a guarantee is violated, fails the test and saves the history to a
    file.
    """
    recorder.wait_bills()
    history = recorder.history()
    if histories.violated(history):
        path = pathlib.Path(tempfile.gettempdir())
        path /= f'radishcourse-history-{recorder.seed}.json'
        histories.save(history, path)
        data = msgspec.json.encode(history).decode()
        case.fail(
            f'{histories.describe(history)}\n{data}\n'
            f'check again: python -m tests.histories {path}'
        )
    return history
