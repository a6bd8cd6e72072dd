"""The codec of everything typed that leaves a process."""

from __future__ import annotations

from sapphirehoist.messages.codec import (
    Malformed,
    decode_json,
    decode_msgpack,
    encode_json,
    encode_msgpack,
)

__all__ = [
    "Malformed",
    "decode_json",
    "decode_msgpack",
    "encode_json",
    "encode_msgpack",
]
