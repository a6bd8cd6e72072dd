"""Selects epoll as the back end of gevent's event loop.

It replaces any other back end that is in use, such as io_uring.
"""

from __future__ import annotations

import gevent
from gevent import config

EVENT_LOOP_BACKEND = "epoll"


def pin_epoll() -> None:
    """Select the epoll back end of libev.

    Raises
    ------
    AssertionError
        If the event loop still uses another back end.
    """
    if gevent.get_hub().loop.backend != EVENT_LOOP_BACKEND:
        gevent.get_hub().destroy(destroy_loop=True)
        config.libev_backend = EVENT_LOOP_BACKEND
    backend = gevent.get_hub().loop.backend
    assert backend == EVENT_LOOP_BACKEND, (
        f"gevent uses {backend} instead of {EVENT_LOOP_BACKEND}"
    )
