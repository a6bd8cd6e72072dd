"""What the connections of one listener may hold, and for how long."""

from __future__ import annotations

# What a connection costs while it holds no request: tasks, parser, and the block that
# is read ahead. TLS adds the buffers of its records.
CONNECTION_BYTES = 40_960
TLS_CONNECTION_BYTES = 98_304
# A field of a head is kept as texts for as long as its request is handled, and is
# encoded again for the endpoint.
FIELD_BYTES = 512
# Received bytes that are not parsed yet, in bytes.
READ_AHEAD_BYTES = 16_384
# Buffer of the kernel for received bytes, in bytes.
KERNEL_RECEIVE_BYTES = 131_072
# Received bytes of a body for each byte of its limit: a chunk of one byte takes six.
MAX_FRAMING_FACTOR = 8
# A request that is not complete by then, in seconds from its first byte, is refused.
MAX_RECEIVE_S = 60.0
