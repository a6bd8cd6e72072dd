"""Engines crash and come back while two software versions serve side by side."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import Engine, Gateway, Store, ask, configuration, main, route  # noqa: E402

SERVICE = "dele69a"
ROUTE = route("session-recap", "streaming", SERVICE, streamResume=True)
ZONES = (("mtl-plateau", "montreal"), ("qc-limoilou", "quebec-city"))
# Half of the engines have version v1 and half v2, all the while. The first ones, of v1,
# crash together, and come back under their ids with the same version.
ENGINES, CRASHING = 12, 3
# Seconds after the start of traffic.
CRASHES = ((4.0, 6.0), (8.0, 10.0), (12.0, 14.0))
STREAMS_PER_S, TRAFFIC_S, DEADLINE_S = 75.0, 15.0, 8.0
# LOST: of so many streams that are taken up again, the share that goes on is under half
# of the share of new streams that begin.
MIN_TAKEN_UP = 12


def events(body: bytes) -> list[int]:
    """Return the ids of the whole events of a body."""
    return [int(block.split(b"\n")[0][4:]) for block in body.split(b"\n\n")[:-1]]


class Client:
    """Sends one stream, and takes it up once after a broken connection."""

    def __init__(self, number: int, fronts, event_count: int, record, rng) -> None:
        self.id, self.fronts, self.event_count = f"s{number:04d}", fronts, event_count
        self.record, self.rng = record, rng
        self.has_begun = self.was_taken_up = self.went_on = False

    async def run(self) -> None:
        """Send the stream."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + DEADLINE_S
        prompt = f"5c1e07a2:800,{self.rng.getrandbits(32):08x}:660"
        got = await self.attempt(0, ends_at, prompt, {})
        self.has_begun = bool(got)
        # A stream with all of its events has nothing to go on with.
        if not got or len(got) == self.event_count:
            return
        self.was_taken_up = True
        await asyncio.sleep(0.05)
        fields = {"Last_Event_Id": str(got[-1]), "Resumes": f"{self.id}-0"}
        rest = await self.attempt(1, ends_at, prompt, fields)
        self.went_on = bool(rest)

    async def attempt(self, number: int, ends_at: float, prompt: str, fields) -> list:
        """Send one attempt and return the ids of its events."""
        left_s = ends_at - asyncio.get_running_loop().time()
        front = self.rng.choice(self.fronts)
        request_id = f"{self.id}-{number}"
        answer = await ask(
            front,
            "/session-recap/2f",
            request_id,
            left_s,
            X_Model="m",
            X_Token_Count="1460,80",
            X_Prompt_Prefix=prompt,
            **fields,
        )
        got = events(answer.body) if answer.status == 200 else []
        detail = "" if answer.status == 200 else f" {answer.body.decode()!r}"
        self.record(
            f"{request_id} after {fields.get('Last_Event_Id', '0')}: "
            f"{answer.status} whole {answer.is_whole} {answer.error}{detail}, "
            f"{len(got)} events, {left_s:.1f} s left when sent"
        )
        return got


async def crash(engines: list[Engine]) -> None:
    """Let engines crash and come back, again and again."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    for down_at, up_at in CRASHES:
        await asyncio.sleep(max(0.0, start + down_at - loop.time()))
        for engine in engines:
            await engine.crash()
        await asyncio.sleep(max(0.0, start + up_at - loop.time()))
        for engine in engines:
            await engine.start()


async def run(record, folder: Path, has_trouble: bool) -> bool:
    """Return whether the rule LOST held."""
    rng = random.Random(1)
    store = Store()
    await store.listen()
    service = {"name": SERVICE, "engine": {"slots": 48, "kvCapacityTokens": 444000}}
    store.put("op", "config", configuration(7, [ROUTE], [service]))
    engines = []
    for number in range(ENGINES):
        name, zone = f"i-{chr(ord('a') + number)}", ZONES[number % 2][0]
        version = "v1" if number < ENGINES // 2 else "v2"
        engine = Engine(name, SERVICE, zone, store, record, version)
        await engine.start()
        engines.append(engine)
    gateways = [Gateway(i, *ZONES[i % 2], folder) for i in range(2)]
    seeds = [f"{g.ip}:{g.ports['control']}" for g in gateways]
    clients = []
    tasks = []
    try:
        for gateway in gateways:
            await gateway.start(store.address, seeds)
        for gateway in gateways:
            if not await gateway.wait_ready():
                raise RuntimeError("a gateway did not become ready")
        # The machines are in touch from here on.
        await asyncio.sleep(4.0)
        if has_trouble:
            tasks.append(asyncio.create_task(crash(engines[:CRASHING])))
        fronts = [gateway.front for gateway in gateways]
        for number in range(int(STREAMS_PER_S * TRAFFIC_S)):
            event_count = engines[0].event_count
            client = Client(number, fronts, event_count, record, rng)
            clients.append(client)
            tasks.append(asyncio.create_task(client.run()))
            await asyncio.sleep(rng.expovariate(STREAMS_PER_S))
        await asyncio.gather(*tasks)
    finally:
        for gateway in gateways:
            await gateway.end()
    begun = sum(client.has_begun for client in clients)
    taken_up = sum(client.was_taken_up for client in clients)
    went_on = sum(client.went_on for client in clients)
    record(
        f"of {len(clients)} new streams {begun} began; of {taken_up} that clients took "
        f"up again {went_on} went on"
    )
    if taken_up < MIN_TAKEN_UP:
        return True
    return went_on / taken_up >= 0.5 * begun / len(clients)


main(run, Path(__file__).resolve().parent)
