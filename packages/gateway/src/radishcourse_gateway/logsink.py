"""Writes log lines without blocking on the reader of standard output."""

import collections
import json
import logging
import os
import typing

from radishcourse_model import escaping
from radishcourse_node import events

# Size of the lines buffered for a slow reader; further lines are dropped.
MAX_PENDING_BYTES = 256 * 1024
# Sustained rate of lines; bounds the volume under load.
LINES_PER_S = 400.0
BURST_LINES = 800.0
# Events with a lower number (process, configuration, members) are exempt from
# the rate limit.
_UNLIMITED_BELOW = 500
# Part of the burst that only records of answers take, by which they are billed.
RESERVED_LINES = BURST_LINES / 2
# Interval at which drops are logged.
DROPS_INTERVAL_S = 1.0


class LogSink:
    """An eliot destination that never blocks and limits the rate of lines.

    Args:
      descriptor: File descriptor to write to; it is made non-blocking.
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
        self._reported = 0
        self._report_at = 0.0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Writes one message as a JSON line, or drops it."""
        message.pop('task_uuid', None)
        message.pop('task_level', None)
        if not self._take_token(message):
            self.dropped += 1
            return
        self._write(message)
        self._report_drops()

    def _report_drops(self) -> None:
        """Logs how many lines were dropped since the last report."""
        now, dropped = self._clock.now(), self.dropped - self._reported
        if not dropped or now < self._report_at:
            return
        self._report_at = now + DROPS_INTERVAL_S
        self._reported = self.dropped
        self._write(
            {
                'event': events.Event.LOG_DROPPED.value,
                'dropped': dropped,
                'message_type': events.Event.LOG_DROPPED.name.lower(),
            }
        )

    def _write(self, message: dict[str, typing.Any]) -> None:
        line = json.dumps(message, default=str).encode() + b'\n'
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        self.flush()

    def _take_token(self, message) -> bool:
        now = self._clock.now()
        earned = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._refilled_at = now
        number = message.get('event', 0)
        if number < _UNLIMITED_BELOW:
            return True
        reserved = RESERVED_LINES
        if number == events.Event.REQUEST_ANSWERED.value:
            reserved = 0.0
        if self._tokens < reserved + 1:
            return False
        self._tokens -= 1
        return True

    def flush(self) -> None:
        """Writes buffered lines until the write would block."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so this can't be logged either.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()


class LibraryHandler(logging.Handler):
    """Logs warnings of libraries as events, under the same rate limit."""

    def __init__(self):
        super().__init__(logging.WARNING)

    def emit(self, record: logging.LogRecord) -> None:
        """Logs one record as an event."""
        events.log(
            events.Event.LIBRARY_WARNED,
            logger=record.name,
            level=record.levelname,
            text=escaping.escape(self.format(record)),
        )
