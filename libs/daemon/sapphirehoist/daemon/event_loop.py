"""Pins gevent's event loop to epoll; io_uring is not used."""

from __future__ import annotations

import gevent
from gevent import config

EVENT_LOOP_BACKEND = "epoll"


def pin_epoll() -> None:
    """Select epoll and stop the process if another back end runs."""
    if gevent.get_hub().loop.backend != EVENT_LOOP_BACKEND:
        gevent.get_hub().destroy(destroy_loop=True)
        config.libev_backend = EVENT_LOOP_BACKEND
    backend = gevent.get_hub().loop.backend
    assert backend == EVENT_LOOP_BACKEND, (
        f"gevent runs on {backend}, not on {EVENT_LOOP_BACKEND}"
    )
