"""Memory that a process gains while something happens."""

import contextlib
import pathlib
import re
import threading

INTERVAL_S = 0.05


def resident_kb(pid: int) -> int:
    """Returns the resident memory of a process in KiB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmRSS:\s+(\d+)', status)[1])


class Watch:
    """Resident memory of a process.

    Args:
      pid: Its process id.

    Attributes:
      growth_kb: The most that it has gained since the start, in KiB.
    """

    def __init__(self, pid: int):
        self._pid = pid
        self._before_kb = resident_kb(pid)
        self.growth_kb = 0

    def note(self) -> None:
        """Records how much it has gained by now."""
        growth_kb = resident_kb(self._pid) - self._before_kb
        self.growth_kb = max(self.growth_kb, growth_kb)


@contextlib.contextmanager
def watching(process):
    """Yields a `Watch` of a started process, kept up to date in a thread."""
    watch = Watch(process.popen.pid)
    stop = threading.Event()

    def run() -> None:
        while not stop.wait(INTERVAL_S):
            watch.note()

    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield watch
    finally:
        stop.set()
        thread.join()
        watch.note()
