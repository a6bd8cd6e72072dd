"""Encodes a timeline in the Chrome trace event format."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from sapphirehoist.messages import encode_json
from sapphirehoist.observability import TimelineEvent


class InstantEvent(msgspec.Struct, frozen=True):
    """Instant event; `ts` is in microseconds and `pid` numbers the VMs.

    `ph` is the type of the event, and `s` its scope, here the process.
    """

    name: str
    pid: int
    tid: int
    ts: int
    args: dict[str, str]
    ph: str = "i"
    s: str = "p"


class ProcessNameEvent(msgspec.Struct, frozen=True):
    """Metadata event with the name of the VM that `pid` stands for."""

    pid: int
    args: dict[str, str]
    name: str = "process_name"
    ph: str = "M"


def encode_trace(events: Iterable[TimelineEvent]) -> bytes:
    """Encode `events` as a JSON array of trace events."""
    pids: dict[str, int] = {}
    trace: list[InstantEvent | ProcessNameEvent] = []
    for event in events:
        if event.vm not in pids:
            pids[event.vm] = len(pids) + 1
            trace.append(ProcessNameEvent(pids[event.vm], {"name": event.vm}))
        arguments = {"subject": event.subject, "detail": event.detail}
        # The logical counter is added as microseconds, so that events with equal
        # `wall_ms` keep their order.
        timestamp_us = event.at.wall_ms * 1000 + event.at.logical
        trace.append(
            InstantEvent(event.kind, pids[event.vm], 1, timestamp_us, arguments)
        )
    return encode_json(trace)
