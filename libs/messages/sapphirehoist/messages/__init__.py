"""JSON and MessagePack codecs for the typed messages between processes."""

from __future__ import annotations

from sapphirehoist.messages.codec import (
    MalformedMessage,
    decode_json,
    decode_msgpack,
    encode_json,
    encode_msgpack,
)
from sapphirehoist.messages.set_digest import element_digest

__all__ = [
    "MalformedMessage",
    "decode_json",
    "decode_msgpack",
    "element_digest",
    "encode_json",
    "encode_msgpack",
]
