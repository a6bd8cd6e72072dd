"""Leases with fencing tokens for duties that one node at a time performs."""

from __future__ import annotations

from sapphirehoist.leases.lease import HeldLease, Lease, LeaseTimings

__all__ = ["HeldLease", "Lease", "LeaseTimings"]
