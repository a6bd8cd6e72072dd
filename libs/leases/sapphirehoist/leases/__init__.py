"""Leases with fencing numbers for duties that one node may hold."""

from __future__ import annotations

from sapphirehoist.leases.lease import HeldLease, Lease, LeaseTimings

__all__ = ["HeldLease", "Lease", "LeaseTimings"]
