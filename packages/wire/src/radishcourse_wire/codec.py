"""Encoding of Thrift structures with the compact protocol.

The accelerated codec raises exceptions of several types on malformed bytes;
`decode` turns all of them into `Malformed`.
"""

import typing

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from radishcourse_wire import errors

MAX_MESSAGE_BYTES = 2**20

_protocol_factory = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_MESSAGE_BYTES,
    container_length_limit=MAX_MESSAGE_BYTES,
)
T = typing.TypeVar('T')


def encode(message) -> bytes:
    """Returns the encoding of a generated structure.

    Raises:
      Malformed: A field holds a value of the wrong type.
    """
    buffer = TTransport.TMemoryBuffer()
    try:
        message.write(_protocol_factory.getProtocol(buffer))
    except Exception as error:
        raise errors.Malformed(
            f'message cannot be encoded: {error!r}'
        ) from error
    return buffer.getvalue()


def decode(message_type: type[T], data: bytes) -> T:
    """Returns the structure of a type that some bytes encode.

    Raises:
      Malformed: There are more than `MAX_MESSAGE_BYTES` bytes, or they do
        not encode such a structure.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.Malformed(
            f'message of {len(data)} bytes exceeds {MAX_MESSAGE_BYTES} bytes'
        )
    message = message_type()
    try:
        message.read(
            _protocol_factory.getProtocol(TTransport.TMemoryBuffer(data))
        )
    except Exception as error:
        raise errors.Malformed(
            f'invalid {message_type.__name__}: {error!r}'
        ) from error
    return message
