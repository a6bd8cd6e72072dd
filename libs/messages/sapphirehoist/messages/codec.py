"""Encoding and checked decoding of typed messages.

Decoding never raises on bad input: it returns `Malformed`, which names the field
and what is allowed there.
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
class Malformed:
    """Bytes that do not decode to the expected type.

    Attributes
    ----------
    detail : str
        Path of the field, the value's type and the type that is allowed.
    """

    detail: str


def encode_json(message: Any) -> bytes:
    """Return `message` as JSON."""
    return _json_encoder.encode(message)


def encode_msgpack(message: Any) -> bytes:
    """Return `message` as MessagePack."""
    return _msgpack_encoder.encode(message)


def decode_json(data: bytes, message_type: type[T]) -> T | Malformed:
    """Decode JSON into `kind`.

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
        return Malformed(str(exc))


def decode_msgpack(data: bytes, message_type: type[T]) -> T | Malformed:
    """Decode MessagePack into `kind`; see `decode_json`."""
    decoder = _msgpack_decoders.get(message_type)
    if decoder is None:
        decoder = _msgpack_decoders[message_type] = msgspec.msgpack.Decoder(
            message_type
        )
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return Malformed(str(exc))
