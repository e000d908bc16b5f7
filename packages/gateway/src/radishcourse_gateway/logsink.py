"""Writes log lines without ever waiting for the reader of standard output."""

import collections
import json
import logging
import os
import typing

from radishcourse_model import escaping
from radishcourse_node import events

# Lines that wait for a slow reader; beyond it the newest are dropped.
MAX_PENDING_BYTES = 256 * 1024
# Lines in a second, on the mean; bounds the volume under load.
LINES_PER_S = 400.0
BURST_LINES = 800.0
# These are written whatever the volume is: process, configuration, members.
_UNLIMITED_BELOW = 500


class LogSink:
    """A destination for eliot that never blocks.

    Args:
      descriptor: File descriptor; it is made non-blocking.
      clock: Source of time.

    Attributes:
      dropped: Lines that were dropped.
    """

    def __init__(self, descriptor: int, clock):
        self._descriptor = descriptor
        self._clock = clock
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._tokens = BURST_LINES
        self._refilled_at = clock.now()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Writes one message, or drops it."""
        message.pop('task_uuid', None)
        message.pop('task_level', None)
        if not self._takes_token(message):
            self.dropped += 1
            return
        line = json.dumps(message, default=str).encode() + b'\n'
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        self.flush()

    def _takes_token(self, message) -> bool:
        now = self._clock.now()
        earned = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._refilled_at = now
        if message.get('event', 0) < _UNLIMITED_BELOW:
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def flush(self) -> None:
        """Writes as much as the reader takes now."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()


class LibraryHandler(logging.Handler):
    """Turns warnings of libraries into events, bounded like all others."""

    def __init__(self):
        super().__init__(logging.WARNING)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record."""
        events.log(
            events.Event.LIBRARY_WARNED,
            logger=record.name,
            level=record.levelname,
            text=escaping.escape(self.format(record)),
        )
