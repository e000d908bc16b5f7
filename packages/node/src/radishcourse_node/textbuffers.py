"""Buffers the text of streamed answers until they can be rated."""

import contextlib

import msgspec

# Maximum text of one answer and of all answers of the node together. A stream
# beyond either bound is not rated: slow readers hold their streams for long, so
# memory must be bounded.
MAX_BUFFER_CHARS = 32 * 1024
MAX_TOTAL_CHARS = 2 * 2**20


class TextBuffer:
    """Collects the text of one stream."""

    def __init__(self, buffers: 'TextBuffers'):
        self._text_buffers = buffers
        self._parts: list[str] = []
        self._size = 0
        self._complete = True

    @property
    def text(self) -> str | None:
        """The complete text, or None if it exceeded a bound."""
        return ''.join(self._parts) if self._complete else None

    def add(self, events: bytes) -> None:
        """Adds the text of complete server-sent events."""
        if not self._complete:
            return
        text = extract_text(events)
        self._complete = (
            self._size + len(text) <= MAX_BUFFER_CHARS
            and self._text_buffers.total_chars + len(text) <= MAX_TOTAL_CHARS
        )
        if not self._complete:
            self.clear()
            return
        self._parts.append(text)
        self._size += len(text)
        self._text_buffers.total_chars += len(text)

    def clear(self) -> None:
        """Frees the text."""
        self._text_buffers.total_chars -= self._size
        self._parts, self._size = [], 0


class TextBuffers:
    """Bounds the memory of all buffers of a node.

    Attributes:
      total_chars: Number of characters in all open buffers.
    """

    def __init__(self):
        self.total_chars = 0

    @contextlib.contextmanager
    def open(self):
        """Yields a buffer and frees it at the end."""
        buffer = TextBuffer(self)
        try:
            yield buffer
        finally:
            buffer.clear()


class _Delta(msgspec.Struct):
    content: str = ''


class _Choice(msgspec.Struct):
    delta: _Delta | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = []


_event_decoder = msgspec.json.Decoder(_Event)


def extract_text(stream: bytes) -> str:
    """Returns the text of complete server-sent events; skips others."""
    parts = []
    for event in stream.split(b'\n\n'):
        if not event.startswith(b'data: {'):
            continue
        try:
            decoded = _event_decoder.decode(event[6:])
        except (msgspec.MsgspecError, UnicodeDecodeError):
            continue
        parts += [item.delta.content for item in decoded.choices if item.delta]
    return ''.join(parts)
