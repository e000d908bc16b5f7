"""Continuous load of model jobs on the nodes of a cluster."""

import contextlib
import threading
import time

import httpcore

from tests import cluster as clusters

PAUSE_S = 0.02
_NETWORK_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException)
_PROTOCOL_ERRORS = (httpcore.ProtocolError, OSError)


class Load:
    """Callers that each send jobs to one node, one after the other.

    Args:
      cluster: Cluster under test.
      deadline_ms: Deadline of each job.

    Attributes:
      replies: Replies of all jobs so far, in the order of their arrival.
    """

    def __init__(self, cluster, deadline_ms: int):
        self._cluster = cluster
        self._headers = {'X-Radish-Deadline-Ms': str(deadline_ms)}
        self._timeout_s = deadline_ms / 1000 + 2
        self._stop = threading.Event()
        self.replies: list[clusters.Reply] = []

    def send_jobs(self, name: str) -> None:
        """Sends jobs to a node until the load is stopped."""
        while not self._stop.is_set():
            try:
                reply = self._cluster.chat(
                    name, 'tag', self._headers, self._timeout_s
                )
            except _NETWORK_ERRORS + _PROTOCOL_ERRORS:
                time.sleep(PAUSE_S * 10)
                continue
            self.replies.append(reply)
            if reply.status != 200:
                time.sleep(PAUSE_S)

    def stop(self) -> None:
        """Stops each caller after its current job."""
        self._stop.set()

    def count(self, status: int = 200) -> int:
        """Returns the number of replies so far that have this status."""
        return sum(reply.status == status for reply in self.replies)


@contextlib.contextmanager
def running(cluster, callers: int = 2, deadline_ms: int = 1500):
    """Yields a load with `callers` on each node, and stops it on exit."""
    load = Load(cluster, deadline_ms)
    threads = [
        threading.Thread(target=load.send_jobs, args=(name,), daemon=True)
        for name in cluster.names
        for _ in range(callers)
    ]
    for thread in threads:
        thread.start()
    try:
        yield load
    finally:
        load.stop()
        for thread in threads:
            thread.join()
