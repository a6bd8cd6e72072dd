"""Encodes typed messages, and decodes them with validation.

Decoding malformed data does not raise an exception but returns `MalformedMessage`,
which describes the error.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

_json_encoder = msgspec.json.Encoder()
_msgpack_encoder = msgspec.msgpack.Encoder()
_json_decoders: dict[Any, msgspec.json.Decoder] = {}
_msgpack_decoders: dict[Any, msgspec.msgpack.Decoder] = {}


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """Result of decoding data that is malformed or does not match the expected type.

    Attributes
    ----------
    detail : str
        Error message of the decoder; for a wrong type, it contains the path of the
        field, its actual type and the expected type.
    """

    detail: str


def encode_json(message: Any) -> bytes:
    """Encode `message` as JSON."""
    return _json_encoder.encode(message)


def encode_msgpack(message: Any) -> bytes:
    """Encode `message` as MessagePack."""
    return _msgpack_encoder.encode(message)


def decode_json(data: bytes, message_type: type[T]) -> T | MalformedMessage:
    """Decode JSON to `message_type`; return `MalformedMessage` where it does not match.

    Examples
    --------
    >>> decode_json(b"[1, 2]", list[int])
    [1, 2]
    >>> decode_json(b'["x"]', list[int]).detail
    'Expected `int`, got `str` - at `$[0]`'
    """
    decoder = _json_decoders.get(message_type)
    if decoder is None:
        decoder = _json_decoders[message_type] = msgspec.json.Decoder(message_type)
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return MalformedMessage(str(exc))


def decode_msgpack(data: bytes, message_type: type[T]) -> T | MalformedMessage:
    """Decode MessagePack to `message_type` in the same way as `decode_json`."""
    decoder = _msgpack_decoders.get(message_type)
    if decoder is None:
        decoder = _msgpack_decoders[message_type] = msgspec.msgpack.Decoder(
            message_type
        )
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return MalformedMessage(str(exc))
