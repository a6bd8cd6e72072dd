"""Engines are taken away while gateways read a list of engines that has two pages."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import (  # noqa: E402
    Engine,
    Gateway,
    Store,
    ask,
    configuration,
    main,
    response,
    route,
)

SERVICE = "xano55b"
ZONE, REGION = "mtl-plateau", "montreal"
ROUTE = route("slot-lookup", "idempotent", SERVICE, timeoutMs=1000, targetLatencyMs=200)
ENGINES, TAKEN_AWAY, GATEWAYS = 1200, 300, 4
# Engines of a fleet of this size write their entries at this interval.
BEAT_S = 4.0
DRAIN_S, CONTACT_S = 2.5, 4.0
# Engines serve this long after their entry is removed, then they exit.
SERVES_S = 12.0
REMOVALS_S = 2.0
REQUESTS_PER_S = 40.0
WORK_S = 0.015


class Plain(Engine):
    """Engine that answers with 800 bytes."""

    removed_at = 0.0
    late: list[str]

    async def run(self, target, fields, body, writer, common) -> bool:
        """Run a request."""
        request_id = fields.of("x-request-id")
        since_s = time.monotonic() - self.removed_at if self.removed_at else 0.0
        if since_s > DRAIN_S:
            self.late.append(self.name)
            self.record(
                f"LATE {request_id} reaches {self.name}, {since_s:.2f} s after its "
                "entry was removed"
            )
        await asyncio.sleep(WORK_S)
        seal = f"{self.name}.{request_id}"
        load = self.load()
        writer.write(
            response(200, b"x" * 800, X_Server_Seal=seal, X_Server_Load=load, **common)
        )
        await writer.drain()
        return True


async def take_away(engines: list[Plain], record) -> None:
    """Remove the entries of engines in the order of their ids."""
    pause_s = REMOVALS_S / len(engines)
    record(f"{len(engines)} engines are taken away from here on")
    start = time.monotonic()
    for number, engine in enumerate(engines):
        await asyncio.sleep(max(0.0, start + number * pause_s - time.monotonic()))
        engine.deregister()
        engine.removed_at = time.monotonic()
    record("all of them are removed from the store")
    await asyncio.sleep(SERVES_S)
    for engine in engines:
        await engine.end()


async def send(gateway: Gateway, seconds: float, rng, answers: dict) -> None:
    """Send requests to one gateway."""
    tasks = []

    async def one(number: int) -> None:
        request_id = f"{gateway.name}-{number}"
        answer = await ask(gateway.front, "/slot-lookup/2f", request_id, 2.0)
        answers[answer.status] = answers.get(answer.status, 0) + 1

    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        tasks.append(asyncio.create_task(one(len(tasks))))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)


async def run(record, folder: Path, has_trouble: bool) -> bool:
    """Return whether the rule DRAIN held."""
    rng = random.Random()
    store = Store()
    await store.listen()
    services = [{"name": SERVICE, "maxConnections": 110}]
    store.put("op", "config", configuration(7, [ROUTE], services))
    late: list[str] = []
    engines = []
    for number in range(ENGINES):
        ip = f"127.9.{100 + number // 200}.{number % 200 + 1}"
        name = f"i-{rng.getrandbits(40):010x}"
        engine = Plain(name, SERVICE, ZONE, store, record, "v1", ip, beat_s=BEAT_S)
        engine.slots, engine.late = 6, late
        await engine.start()
        engines.append(engine)
        await asyncio.sleep(BEAT_S / ENGINES)
    gateways = [Gateway(number, ZONE, REGION, folder) for number in range(GATEWAYS)]
    seeds = [f"{g.ip}:{g.ports['control']}" for g in gateways[:3]]
    answers: dict[int, int] = {}
    try:
        for gateway in gateways:
            await gateway.start(store.address, seeds, BEAT_S)
        for gateway in gateways:
            if not await gateway.wait_ready():
                raise RuntimeError("a gateway did not become ready")
        await asyncio.sleep(CONTACT_S)
        if has_trouble:
            record("all gateways are killed")
            for gateway in gateways:
                gateway.signal(signal.SIGKILL)
            for gateway in gateways:
                await gateway.process.wait()
            await asyncio.sleep(0.5)
            record("all gateways are started again")
            for gateway in gateways:
                await gateway.start(store.address, seeds, BEAT_S)
        victims = sorted(engines, key=lambda engine: engine.name)[:TAKEN_AWAY]
        removal = asyncio.create_task(take_away(victims, record))
        for gateway in gateways:
            if not await gateway.wait_ready():
                raise RuntimeError("a gateway did not become ready again")
        record("all gateways are ready")
        # Only machines in touch count.
        await asyncio.sleep(CONTACT_S + 0.5)
        record("clients send from here on")
        await asyncio.gather(*(send(g, 5.0, rng, answers) for g in gateways))
        await removal
    finally:
        for gateway in gateways:
            await gateway.end()
    record(
        f"answers {answers}; {len(late)} requests reached {len(set(late))} engines "
        f"later than {DRAIN_S} s after the store had acknowledged their removal"
    )
    return not late


main(run, Path(__file__).resolve().parent)
