"""A prompt part that crashes each engine as soon as it has written a first event."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig3 import BOUNDS, Client, Engine, Site, encode_response, has_trouble  # noqa: E402

SERVICE, HOST, KEY = "assistant", "studio.example", "key-of-studio"
MACHINES, ENGINES = 8, 9
EVENTS, EVENT_S, PREFILL_S = 20, 0.05, 0.15
BACK_AFTER_S = 2.0
LENGTH_S, PER_S = 40.0, 20.0
# The requests with the part.
FROM_S, EVERY_S = 5.0, 2.0
CONTACT_S = BOUNDS["contactMs"] / 1000
CRASHING_PART, SHARED_PART = "0badf00d", "5c1e07a2"
OTHER_PARTS = [f"7d00{number:04x}" for number in range(8)]
ROUTE = {
    "name": "recap",
    "host": HOST,
    "prefix": "/recap/",
    "kind": "streaming",
    "service": SERVICE,
    "timeoutMs": 8000,
    "targetLatencyMs": 1300,
    "priority": 0,
    "maxAttempts": 2,
    "stages": [],
    "streamResume": True,
    "gapAimMs": 400,
    "sessionAffinity": True,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": SERVICE,
            "healthPath": "/health",
            "maxConnections": 300,
            "engine": {"slots": 48, "kvCapacityTokens": 444_000},
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


class ModelEngine(Engine):
    """A model engine that crashes when it begins to write an answer on the part."""

    def __init__(self, *args, case: Case) -> None:
        super().__init__(*args)
        self.case = case
        self.slots = 48
        self.is_down = False

    def end(self) -> None:
        """Close all connections at once, like a process that ends."""
        self.is_down = True
        super().end()

    async def come_back(self) -> None:
        """Start again under the same id."""
        await asyncio.sleep(BACK_AFTER_S)
        self.running = 0
        self.is_down = False
        await self.start()

    async def _serve(self, reader, writer) -> None:
        # The connection may have been accepted just before the end.
        if self.is_down:
            writer.transport.abort()
            return
        await super()._serve(reader, writer)

    async def answer(self, first, headers, body, writer) -> None:
        """Stream the events behind `Last-Event-Id`."""
        request_id = headers["x-request-id"]
        crashes = CRASHING_PART in headers["x-prompt-prefix"]
        begin = int(headers.get("last-event-id", "0")) + 1
        self.record.write(f"{self.name} gets {request_id}, from event {begin}")
        if crashes:
            self.case.reached.append((time.monotonic(), request_id))
        await asyncio.sleep(PREFILL_S * random.uniform(0.7, 1.3))
        writer.write(
            encode_response(
                200,
                {"Content-Type": "text/event-stream"} | self.answer_headers(headers),
                None,
            )
        )
        for number in range(begin, EVENTS + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if crashes:
                await asyncio.sleep(0.005)
                self.crash(request_id)
                return
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")

    def crash(self, request_id: str) -> None:
        """Crash, and come back some seconds later."""
        if self.is_down:
            return
        self.record.write(f"{self.name} crashes under {request_id}")
        self.case.crashes.append(time.monotonic())
        self.end()
        self.case.spawn(self.come_back())


class Case:
    """The traffic and the counts."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.crashes: list[float] = []
        # Time and id of each request with the part that reached an engine.
        self.reached: list[tuple[float, str]] = []
        self.results: Counter[str] = Counter()
        self._tasks: set[asyncio.Task] = set()
        self._random = random.Random(7)

    def spawn(self, call) -> asyncio.Task:
        """Run a coroutine in a task."""
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def send(self, number: int, part: str) -> None:
        """Send one request; its body and the last part of its prompt are its own."""
        machine = self._random.choice(self.site.machines)
        client = Client(machine, HOST, KEY)
        request_id = f"{number:05x}9c41d07be2a3"
        headers = {
            "X-Model": "m",
            "X-Token-Count": "1460,200",
            "X-Prompt-Prefix": f"{SHARED_PART}:400,{part}:400,{number:08x}:660",
        }
        is_sound = part != CRASHING_PART
        self.site.record.write(
            f"client sends {request_id} to {machine.name}, part {part}"
        )
        status, _, _, is_whole = await client.request(
            "POST", "/recap/x", request_id, 8000, headers, b"prompt %d" % number
        )
        self.site.record.write(f"{request_id} is answered {status}, whole {is_whole}")
        if is_sound:
            self.results[f"{status}" if is_whole else f"{status}, cut"] += 1
        client.close()

    async def run_traffic(self) -> None:
        """Send requests for the length of the case."""
        began_at = time.monotonic()
        number, due, next_crashing = 0, 0.0, FROM_S
        calls = []
        while due < LENGTH_S:
            due += self._random.expovariate(PER_S)
            await asyncio.sleep(max(0.0, began_at + due - time.monotonic()))
            number += 1
            part = self._random.choice(OTHER_PARTS)
            if has_trouble() and due >= next_crashing:
                next_crashing += EVERY_S
                part = CRASHING_PART
            calls.append(self.spawn(self.send(number, part)))
        await asyncio.gather(*calls)


async def main() -> int:
    """Play the case; return the exit code."""
    site = Site(FOLDER)
    record, store = site.record, site.store
    case = Case(site)
    zones = ("zone-a", "zone-b", "zone-c")
    try:
        for number in range(MACHINES):
            await site.add_machine(f"edge-{number}", zones[number % 3], "region-a")
        store.put("op", "config", CONFIG)
        for number in range(ENGINES):
            engine = ModelEngine(
                record, store, f"i-{number}", SERVICE, site.next_address(), case=case
            )
            engine.zone = zones[number % 3]
            await engine.start()
        for machine in site.machines:
            site.start(machine)
        if not await site.wait_until_ready(30):
            record.write("the gateways are not ready")
            return 2
        await asyncio.sleep(3.0)
        await case.run_traffic()
        # RULES: later than contactMs after the fifth crash.
        late = []
        if len(case.crashes) >= 5:
            counted_from = case.crashes[4] + CONTACT_S
            late = [request_id for at, request_id in case.reached if at > counted_from]
        result = (
            f"requests with the part that reached engines too late: {len(set(late))}"
            f" (3 allowed), {len(late)} times; crashes: {len(case.crashes)};"
            f" sound requests by status: {dict(sorted(case.results.items()))}"
        )
        record.write(result)
        print(result)
        if not case.results["200"]:
            return 2
        return 1 if len(set(late)) > 3 else 0
    finally:
        site.close()


if __name__ == "__main__":
    code = asyncio.run(main())
    sys.stdout.flush()
    os._exit(code)
