"""Traffic on the nodes of a cluster, and their responses, for tests."""

import contextlib
import dataclasses
import signal
import threading
import time

import httpcore

from tests import cluster as clusters

PAUSE_S = 0.05
TIMEOUT_S = 2.0
ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


@dataclasses.dataclass(frozen=True)
class Observation:
    """The response of a node to a job, or the lack of one.

    Attributes:
      at: When the request was sent, by the monotonic clock, in seconds.
      node: The node to which the request was sent.
      status: HTTP status; 0 without a complete response.
      code: Code of a refusal; empty otherwise.
      outcome: Outcome of the job in the response headers; empty without one.
    """

    at: float
    node: str
    status: int
    code: str = ''
    outcome: str = ''


class Traffic:
    """Sends jobs to nodes and records the responses until it is stopped.

    Args:
      cluster: The cluster.
      kinds: Kinds of jobs, which are sent in turns.

    Attributes:
      observations: Responses in order of arrival.
      revisions: Revisions in force by node, as its status reports them.
    """

    def __init__(self, cluster: clusters.Cluster, kinds: tuple[str, ...]):
        self.observations: list[Observation] = []
        self.revisions: dict[str, list[int]] = {}
        self._cluster = cluster
        self._kinds = kinds
        self._ended = threading.Event()

    def send(self, node: str) -> None:
        """Sends jobs to one node until the traffic ends."""
        turn = 0
        while not self._ended.wait(PAUSE_S):
            turn += 1
            at = time.monotonic()
            kind = self._kinds[turn % len(self._kinds)]
            try:
                reply = self._cluster.chat(node, kind, timeout_s=TIMEOUT_S)
                status = self._cluster.status(node)
            except ERRORS:
                self.observations.append(Observation(at, node, 0))
                continue
            outcome = reply.headers.get('x-radish-outcome', '')
            self.observations.append(
                Observation(at, node, reply.status, reply.code, outcome)
            )
            self.revisions.setdefault(node, []).append(status['revision'])

    def stop(self) -> None:
        """Ends the traffic."""
        self._ended.set()

    def select(self, nodes, since: float, until: float) -> list[Observation]:
        """Returns the observations of requests sent to nodes in a period."""
        return [
            item
            for item in list(self.observations)
            if item.node in nodes and since <= item.at < until
        ]


@contextlib.contextmanager
def traffic(cluster, kinds=('tag',), nodes=None, senders: int = 1):
    """Yields traffic on nodes, with `senders` threads for each.

    Paused nodes are resumed at the end, so that no sender waits for them.
    """
    running = Traffic(cluster, kinds)
    threads = [
        threading.Thread(target=running.send, args=(node,))
        for node in nodes or cluster.names
        for _ in range(senders)
    ]
    for thread in threads:
        thread.start()
    try:
        yield running
    finally:
        running.stop()
        for name in cluster.names:
            if cluster.nodes[name].popen.poll() is None:
                cluster.nodes[name].signal(signal.SIGCONT)
        for thread in threads:
            thread.join()


def sleep_until(at: float) -> None:
    """Sleeps until a time of the monotonic clock, in seconds."""
    time.sleep(max(0.0, at - time.monotonic()))


def is_ready(cluster, name: str) -> bool:
    """Tells whether a node reports that it is ready."""
    return cluster.get(cluster.nodes[name], '/readyz').status == 200


def member_states(cluster, name: str) -> dict[str, str]:
    """Returns the states of members by node, as one node sees them."""
    members = cluster.status(name)['members']
    return {member['node']: member['state'] for member in members}


def cut_outgoing_links(cluster, name: str, direction: str) -> None:
    """Drops a node's outgoing requests, or only the responses to them.

    Args:
      cluster: The cluster.
      name: The node.
      direction: `requests` or `answers`.
    """
    links = [
        f'{name}>{other}'
        for other in (*cluster.names, 'platform')
        if other != name
    ]
    cluster.fault('blackhole', links, direction=direction)
