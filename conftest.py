"""Runs every test on gevent's cooperative standard library."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()
