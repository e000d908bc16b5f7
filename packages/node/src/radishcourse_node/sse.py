"""Parses, checks and reorders the server-sent events of engines."""

import msgspec

from radishcourse_model import ids
from radishcourse_node import errors

# Fits within the 256 KiB that a node may hold for one request.
MAX_EVENT_BYTES = 64 * 1024
# Events that arrive before a missing one are buffered up to these bounds. A
# wider gap counts as a loss, and the stream is resumed.
MAX_EARLY_EVENTS = 64
MAX_EARLY_BYTES = 64 * 1024
MAX_FOREIGN_EVENTS = 1024
_DATA = b'data: '
_DONE = b'[DONE]'


class _Usage(msgspec.Struct):
    completion_tokens: int = 0


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    request_id: str
    index: int
    choices: list[_Choice]
    usage: _Usage | None = None


_decoder = msgspec.json.Decoder(_Event)


class EventSplitter:
    """Splits a byte stream into the data of its events.

    Lines may end with CR, LF or CR LF, and chunks may end anywhere.
    Comments and fields other than `data` are dropped.
    """

    def __init__(self):
        self._buffer = b''
        self._after_cr = False

    def feed(self, chunk: bytes) -> list[bytes]:
        """Returns the data of the events that this chunk completes.

        Raises:
          AttemptError: An event is too large.
        """
        if self._after_cr and chunk:
            # The LF of a CR LF pair that was split between two chunks.
            self._after_cr = False
            chunk = chunk.removeprefix(b'\n')
        if b'\r' in chunk:
            self._after_cr = chunk.endswith(b'\r')
            chunk = chunk.replace(b'\r\n', b'\n').replace(b'\r', b'\n')
        *events, self._buffer = (self._buffer + chunk).split(b'\n\n')
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise errors.AttemptError(
                f'event exceeds {MAX_EVENT_BYTES} bytes', sent=True
            )
        return [data for data in map(_read_data, events) if data]


def _read_data(event: bytes) -> bytes:
    if event.startswith(_DATA) and b'\n' not in event:
        return event[len(_DATA) :]
    lines = [
        line[len(b'data:') :].removeprefix(b' ')
        for line in event.split(b'\n')
        if line.startswith(b'data:')
    ]
    # A line feed in JSON can only be white space between tokens, so the data
    # can be joined and sent as a single line.
    return b' '.join(lines)


class StreamReader:
    """Checks and orders the events of one stream.

    Duplicates and events of other requests are dropped; events that arrive
    early are buffered. The `[DONE]` marker is not passed on, because the node
    sends its own after the bill is recorded.

    Args:
      request_id: The request id that each event must carry.
      start: Index of the first expected event.

    Attributes:
      tokens: Number of tokens in the answer, from the last event.
      finished: Whether the last event has been accepted.
    """

    def __init__(self, request_id: ids.RequestId | str, start: int = 0):
        self._request_id = request_id
        self._splitter = EventSplitter()
        self._next_index = start
        self._early_events: dict[int, tuple[_Event, bytes]] = {}
        self._foreign_count = 0
        self.tokens = 0
        self.finished = False

    @property
    def next_index(self) -> int:
        """Index of the next event, from which a stream is resumed."""
        return self._next_index

    def restart(self) -> None:
        """Prepares for a resumed stream that starts at `next_index`."""
        self._splitter = EventSplitter()
        self._early_events.clear()

    def feed(self, chunk: bytes) -> bytes:
        """Returns the encoded events that are now next in order.

        Raises:
          AttemptError: An event is malformed or too large, or too many
            events are missing or belong to other requests.
        """
        accepted: list[bytes] = []
        for data in self._splitter.feed(chunk):
            self._process(data, accepted)
        if not accepted:
            return b''
        return b''.join([_DATA + data + b'\n\n' for data in accepted])

    def finish(self) -> None:
        """Checks at the end of the body that the answer is complete.

        Raises:
          AttemptError: The last event is missing.
        """
        if not self.finished:
            raise errors.AttemptError(
                'stream ended before its last event', sent=True
            )

    def _process(self, data: bytes, accepted: list[bytes]) -> None:
        if data == _DONE:
            return
        try:
            event = _decoder.decode(data)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            message = f'malformed event: {error}'
            raise errors.AttemptError(message, sent=True) from error
        if event.request_id != self._request_id:
            self._drop_foreign()
        elif event.index == self._next_index:
            self._accept_next(event, data, accepted)
            while self._next_index in self._early_events:
                self._accept_next(
                    *self._early_events.pop(self._next_index), accepted
                )
        elif event.index > self._next_index and not self.finished:
            self._early_events[event.index] = (event, data)
            size = sum(len(item) for _, item in self._early_events.values())
            if (
                len(self._early_events) > MAX_EARLY_EVENTS
                or size > MAX_EARLY_BYTES
            ):
                raise errors.AttemptError(
                    f'event {self._next_index} is missing from the stream',
                    sent=True,
                )

    def _drop_foreign(self) -> None:
        self._foreign_count += 1
        if self._foreign_count > MAX_FOREIGN_EVENTS:
            raise errors.AttemptError(
                f'more than {MAX_FOREIGN_EVENTS} events of other requests',
                sent=True,
            )

    def _accept_next(
        self, event: _Event, data: bytes, accepted: list[bytes]
    ) -> None:
        if self.finished:
            return
        accepted.append(data)
        self._next_index += 1
        if event.choices and event.choices[0].finish_reason is not None:
            self.finished = True
            self.tokens = event.usage.completion_tokens if event.usage else 0
