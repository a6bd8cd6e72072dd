"""Settings of the C library's allocator for processes that hold large buffers."""

from __future__ import annotations

import ctypes

# Number of the option in <malloc.h> of glibc.
_M_MMAP_THRESHOLD = -3
_LARGE_BUFFER_BYTES = 131_072


def return_large_buffers() -> None:
    """Make the allocator return each large buffer to the system when it is freed.

    By default glibc keeps buffers up to the largest size that was freed before in its
    heap, where they leave gaps. Other C libraries are left as they are.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, _LARGE_BUFFER_BYTES)
