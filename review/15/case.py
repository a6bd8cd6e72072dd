"""A request that asks for many pieces keeps a gateway from answering all others."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig3 import Client, Engine, Site, encode_response, has_trouble  # noqa: E402

HOST, KEY = "studio.example", "key-of-studio"
MACHINES = 3
PIECES, MANY_PIECES = 5, 100_000
CALL_S, PIECE_S = 0.15, 0.016
# Times after the ordinary requests began, and their interval at each machine.
SENT_AT_S, LENGTH_S, EVERY_S = 4.0, 24.0, 0.25
TIMEOUT_S, SLACK_S, DEADLINE_MS = 1.0, 0.5, 2000
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "recap",
            "host": HOST,
            "prefix": "/recap/",
            "kind": "streaming",
            "service": "assistant",
            "timeoutMs": 8000,
            "targetLatencyMs": 1300,
            "priority": 0,
            "maxAttempts": 2,
            "stages": [{"service": "host-accounts", "after": [], "sizeBytes": 8000}],
            "streamResume": True,
            "gapAimMs": 400,
        },
        {
            "name": "slot-lookup",
            "host": HOST,
            "prefix": "/slots/",
            "kind": "idempotent",
            "service": "reservations",
            "timeoutMs": int(TIMEOUT_S * 1000),
            "targetLatencyMs": 200,
            "priority": 2,
            "maxAttempts": 2,
            "stages": [],
        },
    ],
    "services": [
        {
            "name": "assistant",
            "healthPath": "/health",
            "maxConnections": 300,
            "engine": {"slots": 48, "kvCapacityTokens": 444_000},
        },
        {"name": "reservations", "healthPath": "/health", "maxConnections": 110},
        {
            "name": "host-accounts",
            "healthPath": "/health",
            "maxConnections": 300,
            "pieces": {
                "slots": 1,
                "queue": 2,
                "batch": 8,
                "callMs": CALL_S * 1000,
                "itemMs": PIECE_S * 1000,
                "headroomMb": 31.5,
                "handleS": 4.0,
                "linkMbps": 1000,
            },
        },
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "studio", "apiKeys": [KEY]}],
}


class StageEngine(Engine):
    """An engine of the stage."""

    async def answer(self, first, headers, body, writer) -> None:
        """Compute pieces, or release results."""
        answer: dict = {}
        if "/stage-run" in first:
            items = json.loads(body)["items"]
            self.record.write(f"{self.name} runs {len(items)} pieces")
            await asyncio.sleep(CALL_S + PIECE_S * len(items))
            handles = [f"{self.address}/{secrets.token_hex(6)}" for _ in items]
            answer = {"items": [{"handleId": handle} for handle in handles]}
        writer.write(
            encode_response(
                200, self.answer_headers(headers), json.dumps(answer).encode()
            )
        )


class ModelEngine(Engine):
    """A model engine whose streams have one event."""

    async def answer(self, first, headers, body, writer) -> None:
        """Answer with one event."""
        self.record.write(f"{self.name} runs {headers['x-request-id']}")
        fields = {"Content-Type": "text/event-stream"} | self.answer_headers(headers)
        writer.write(encode_response(200, fields, b"id: 1\ndata: done\n\n"))


class Case:
    """The requests and their results."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.statuses: Counter[int] = Counter()
        # Seconds until the final answer, or until the client gave up.
        self.durations_s: list[float] = []
        self._clients: dict[str, list[Client]] = {}

    async def look_up(self, machine, number: int) -> None:
        """Send an ordinary request on a kept connection."""
        clients = self._clients.setdefault(machine.name, [])
        client = clients.pop() if clients else Client(machine, HOST, KEY)
        request_id = f"{number:04x}5b1c7e90ad34"
        sent_at = time.monotonic()
        status, _, _, _ = await client.request(
            "GET", "/slots/x", request_id, DEADLINE_MS
        )
        duration_s = time.monotonic() - sent_at
        self.durations_s.append(duration_s)
        self.statuses[status] += 1
        self.site.record.write(
            f"{request_id} at {machine.name} is answered {status} in {duration_s:.2f} s"
        )
        clients.append(client)

    async def ask_for_pieces(self, machine, pieces: int) -> int:
        """Send a request with a stage; return its status."""
        client = Client(machine, HOST, KEY)
        request_id = secrets.token_hex(8)
        headers = {
            "X-Pieces": str(pieces),
            "X-Piece-Key": request_id,
            "X-Model": "m",
            "X-Token-Count": "1460,80",
            "X-Prompt-Prefix": f"{request_id}:1460",
        }
        self.site.record.write(
            f"client sends {request_id} to {machine.name}, {pieces} pieces"
        )
        status, _, _, _ = await client.request(
            "POST", "/recap/x", request_id, 8000, headers, b"{}"
        )
        self.site.record.write(f"{request_id} is answered {status}")
        client.close()
        return status

    async def run(self) -> None:
        """Send the ordinary requests, and the one with a stage."""
        calls = []
        pieces = MANY_PIECES if has_trouble() else PIECES
        for step in range(int(LENGTH_S / EVERY_S)):
            if step == int(SENT_AT_S / EVERY_S):
                call = self.ask_for_pieces(self.site.machines[0], pieces)
                calls.append(asyncio.create_task(call))
            for place, machine in enumerate(self.site.machines):
                call = self.look_up(machine, step * MACHINES + place)
                calls.append(asyncio.create_task(call))
            await asyncio.sleep(EVERY_S)
        await asyncio.gather(*calls)


async def main() -> int:
    """Play the case; return the exit code."""
    site = Site(FOLDER)
    record, store = site.record, site.store
    case = Case(site)
    try:
        for number in range(MACHINES):
            await site.add_machine(f"edge-{number}", "zone-a", "region-a")
        store.put("op", "config", CONFIG)
        for name, service, slots, kind in (
            ("i-m1", "assistant", 48, ModelEngine),
            ("i-r1", "reservations", 6, Engine),
            ("i-r2", "reservations", 6, Engine),
            ("i-a1", "host-accounts", 1, StageEngine),
            ("i-a2", "host-accounts", 1, StageEngine),
        ):
            engine = kind(record, store, name, service, site.next_address())
            engine.zone, engine.slots = "zone-a", slots
            await engine.start()
        for machine in site.machines:
            site.start(machine)
        if not await site.wait_until_ready():
            record.write("the gateways are not ready")
            return 2
        await asyncio.sleep(4.0)
        if await case.ask_for_pieces(site.machines[0], PIECES) != 200:
            record.write("a request with few pieces is not served")
            return 2
        await case.run()
        # RULES: those that last longer than their timeoutMs, and those of them that
        # have no final answer 0.5 s after it.
        slow = [duration_s for duration_s in case.durations_s if duration_s > TIMEOUT_S]
        unanswered = [d for d in slow if d > TIMEOUT_S + SLACK_S]
        result = (
            f"requests longer than their time-out: {len(slow)}, without an answer"
            f" 0.5 s later: {len(unanswered)};"
            f" statuses: {dict(sorted(case.statuses.items()))}"
        )
        record.write(result)
        print(result)
        is_broken = len(unanswered) >= 8 and len(unanswered) > len(slow) / 4
        return 1 if is_broken else 0
    finally:
        site.close()


if __name__ == "__main__":
    code = asyncio.run(main())
    sys.stdout.flush()
    os._exit(code)
