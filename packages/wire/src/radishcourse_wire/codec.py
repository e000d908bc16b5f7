"""Encoding of Thrift structures with the compact protocol.

The accelerated codec raises several kinds of exceptions on malformed
bytes; `decode` is the one place that turns them into `Malformed`.
"""

import typing

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from radishcourse_wire import errors

MAX_MESSAGE_BYTES = 2**20

_factory = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_MESSAGE_BYTES,
    container_length_limit=MAX_MESSAGE_BYTES,
)
T = typing.TypeVar('T')


def encode(message) -> bytes:
    """Returns the bytes of a generated structure.

    Raises:
      Malformed: A field holds a value of another type.
    """
    buffer = TTransport.TMemoryBuffer()
    try:
        message.write(_factory.getProtocol(buffer))
    except Exception as error:
        raise errors.Malformed(f'can not be encoded: {error!r}') from error
    return buffer.getvalue()


def decode(kind: type[T], data: bytes) -> T:
    """Returns the structure in some bytes.

    Raises:
      Malformed: The bytes are too many, or are no such structure.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.Malformed(f'{len(data)} bytes are too many')
    message = kind()
    try:
        message.read(_factory.getProtocol(TTransport.TMemoryBuffer(data)))
    except Exception as error:
        raise errors.Malformed(f'not a {kind.__name__}: {error!r}') from error
    return message
