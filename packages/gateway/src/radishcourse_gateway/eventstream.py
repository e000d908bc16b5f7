"""Splits a stream of server-sent events into complete events.

A stream can be resumed at another upstream after a complete event.
"""

import re

from radishcourse_gateway import errors
from radishcourse_gateway import upstreamconnections
from radishcourse_policy import answers

# An upstream that sends a longer event is assumed never to end it.
MAX_EVENT_BYTES = 256 * 1024
_TERMINATORS = (b'\n\n', b'\r\n\r\n', b'\r\r')
_EVENT_ID = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')
_FIRST_EVENT = re.compile(rb'(?:^|[\r\n])(?:data|event|id)(?::|[\r\n])')
_EVENT_END = re.compile(rb'\n\n|\r\n\r\n|\r\r')


class Splitter:
    """Buffers an event until it is complete.

    Args:
      event_ids: Ids of the stream's events so far; those of complete events
        are added.
      resumed: Whether the stream continues one that has broken off.

    Attributes:
      count: Number of complete events.
    """

    def __init__(
        self,
        event_ids: answers.EventIds | None = None,
        resumed: bool = False,
    ):
        self._buffer = b''
        self._event_ids = event_ids or answers.EventIds()
        self._unverified = resumed
        self.count = 0

    @property
    def partial(self) -> bytes:
        """The buffered start of an incomplete event."""
        return self._buffer

    async def receive(
        self, connection: upstreamconnections.Connection
    ) -> bytes | None:
        """Returns the next complete events of a stream, None at its end.

        Raises:
          UpstreamError: The stream is truncated, an event is too long, or the
            events do not continue the stream.
        """
        while (data := await connection.receive()) is not None:
            complete = self.feed(data)
            if complete:
                return complete
        return None

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes of all events that are complete with this data.

        Raises:
          UpstreamError: An incomplete event exceeds MAX_EVENT_BYTES, or the
            first event does not follow the last one of a resumed stream.
        """
        data = self._buffer + data
        end = max(_end_after(data, terminator) for terminator in _TERMINATORS)
        self._buffer = data[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise errors.UpstreamError('event too long', True)
        complete = data[:end]
        if complete:
            if self._unverified:
                self._verify_first(complete)
            self._event_ids.note(_EVENT_ID.findall(complete))
            self.count += max(
                complete.count(terminator) for terminator in _TERMINATORS
            )
        return complete

    def _verify_first(self, complete: bytes) -> None:
        start = _FIRST_EVENT.search(complete)
        if start is None:
            return
        end = _EVENT_END.search(complete, start.end() - 1)
        first_event = complete[start.start() : end and end.start()]
        found = _EVENT_ID.search(first_event)
        event_id = found and found[1]
        if not self._event_ids.may_precede(event_id):
            raise errors.UpstreamError(
                f'event {event_id!r} does not follow {self._event_ids.last!r}',
                True,
            )
        self._unverified = False


def _end_after(data: bytes, terminator: bytes) -> int:
    index = data.rfind(terminator)
    return index + len(terminator) if index >= 0 else 0
