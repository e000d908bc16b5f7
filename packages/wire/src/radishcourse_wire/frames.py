"""Length-prefixed frames over a TCP connection."""

import anyio
from anyio.streams import buffered

from radishcourse_wire import codec
from radishcourse_wire import errors
from radishcourse_wire.gen.peer import ttypes

LENGTH_BYTES = 4
# Longer frames are received, and counted, in parts of this size.
PART_BYTES = 16 * 1024
# Limit on the encoded envelope, so messages must be a little smaller.
MAX_FRAME_BYTES = codec.MAX_MESSAGE_BYTES

CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    OSError,
)


class Connection:
    """Sends and receives envelopes over a byte stream."""

    def __init__(self, stream: anyio.abc.ByteStream):
        self._stream = stream
        self._reader = buffered.BufferedByteReceiveStream(stream)

    async def send(self, envelope: ttypes.Envelope) -> None:
        """Sends an envelope.

        Raises:
          Unreachable: The connection is broken.
          Malformed: The envelope is too large or can't be encoded.
        """
        data = codec.encode(envelope)
        if len(data) > MAX_FRAME_BYTES:
            raise errors.Malformed(
                f'frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES} bytes'
            )
        await self.send_raw(len(data).to_bytes(LENGTH_BYTES, 'big') + data)

    async def receive(self, resize=None) -> ttypes.Envelope:
        """Returns the next envelope.

        Args:
          resize: Called with the number of bytes of the frame that are held;
            None if they are not counted.

        Raises:
          Unreachable: The connection is broken or closed.
          Malformed: The frame is too large or holds no envelope.
        """
        length = int.from_bytes(await self.receive_raw(LENGTH_BYTES), 'big')
        if length > MAX_FRAME_BYTES:
            raise errors.Malformed(
                f'frame of {length} bytes exceeds {MAX_FRAME_BYTES} bytes'
            )
        if resize is None or length <= PART_BYTES:
            data = await self.receive_raw(length)
        else:
            data = await self._receive_counted(length, resize)
        return codec.decode(ttypes.Envelope, data)

    async def _receive_counted(self, length: int, resize) -> bytes:
        data = bytearray()
        try:
            while len(data) < length:
                part = min(PART_BYTES, length - len(data))
                data += await self.receive_raw(part)
                resize(len(data))
            return bytes(data)
        finally:
            resize(0)

    async def send_raw(self, data: bytes) -> None:
        """Sends bytes without a length prefix.

        Raises:
          Unreachable: The connection is broken.
        """
        try:
            await self._stream.send(data)
        except CONNECTION_ERRORS as error:
            raise errors.Unreachable(repr(error)) from error

    async def receive_raw(self, count: int) -> bytes:
        """Returns exactly `count` bytes.

        Raises:
          Unreachable: The connection is broken or closed.
        """
        try:
            return await self._reader.receive_exactly(count)
        except CONNECTION_ERRORS as error:
            raise errors.Unreachable(repr(error)) from error

    async def aclose(self) -> None:
        """Closes the connection."""
        await anyio.aclose_forcefully(self._stream)
