"""Leases with fencing numbers for duties that one node may hold."""

from __future__ import annotations

from sapphirehoist.leases.lease import Lease, LeaseHeld, LeaseTimes

__all__ = ["Lease", "LeaseHeld", "LeaseTimes"]
