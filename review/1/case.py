"""A process that is killed and started again takes results of its earlier requests.

Requests with a stage wait at the process that calls the stage's engine. The process
that took them from their clients is killed and starts again. Then as many new requests
arrive.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import signal
from pathlib import Path

from rig import (
    Engine,
    Gateway,
    Message,
    Record,
    Store,
    config,
    encode_response,
    loopback,
    main,
    route,
    sealed,
    send_request,
)

REQUESTS = 26
PIECES = 7
CALL_S, PIECE_S = 0.150, 0.018
PIECE_SPEC = {
    "slots": 1,
    "queue": 2,
    "batch": 7,
    "callMs": CALL_S * 1000,
    "itemMs": PIECE_S * 1000,
    "headroomMb": 31.5,
    "handleS": 4.0,
    "linkMbps": 10_000,
}
STAGES = [{"service": "accounts", "after": [], "sizeBytes": 8_000}]
SERVICES = [
    {"name": "assistant", "engine": {"slots": 48, "kvCapacityTokens": 444_000}},
    {"name": "accounts", "pieces": PIECE_SPEC},
]
ROUTES = [route("ask", "streaming", "assistant", streamResume=True, stages=STAGES)]


async def case(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Return whether each request ran with its own inputs only."""
    results: dict[str, tuple[str, int, int]] = {}
    mixed: list[str] = []
    turn = asyncio.Lock()

    async def compute(engine, request: Message, reader, writer) -> bool:
        if request.path != "/stage-run":
            writer.write(encode_response(200, b"{}"))
            return True
        items = json.loads(request.body)["items"]
        async with turn:
            await asyncio.sleep(CALL_S + PIECE_S * len(items))
        answers = []
        for item in items:
            handle = f"{engine.address}/{secrets.token_hex(6)}"
            results[handle] = (item["id"], item["stage"], item["piece"])
            answers.append({"handleId": handle})
        ids = sorted({item["id"] for item in items})
        record.write(f"stage engine has run {len(items)} pieces of {', '.join(ids)}")
        writer.write(encode_response(200, json.dumps({"items": answers}).encode()))
        return True

    async def generate(engine, request: Message, reader, writer) -> bool:
        handles = [h for h in request.get("X-Inputs").split(",") if h]
        inputs = [results.get(handle, ("?", 0, 0)) for handle in handles]
        own = [(request.request_id, 0, piece) for piece in range(PIECES)]
        ids = sorted({item[0] for item in inputs})
        record.write(
            f"model engine runs {request.request_id} with {len(inputs)} inputs"
            f" of {', '.join(ids)}"
        )
        if sorted(inputs) != own:
            mixed.append(request.request_id)
            record.write(f"MIXED: {request.request_id} has the inputs {inputs}")
        body = b"id: 1\ndata: done\n\n"
        headers = [*sealed(engine, request), ("Content-Type", "text/event-stream")]
        writer.write(encode_response(200, body, headers))
        return True

    store = Store(loopback(0))
    await store.start()
    store.put("op", "config", config(1, ROUTES, SERVICES))
    for engine in (
        Engine("i-model", "assistant", store, generate, loopback(1), slots=48),
        Engine("i-stage", "accounts", store, compute, loopback(2), "zone-b", slots=1),
    ):
        await engine.start()
    owner = Gateway("edge-b-1", loopback(4), "zone-b", store, folder)
    node = Gateway("edge-a-1", loopback(3), "zone-a", store, folder)
    try:
        for gateway in (owner, node):
            await gateway.start()
        for gateway in (owner, node):
            await gateway.ready()
        await asyncio.sleep(4.0)

        async def ask(request_id: str) -> None:
            headers = {"X-Pieces": str(PIECES), "X-Piece-Key": request_id}
            headers |= {"X-Model": "m", "X-Token-Count": "1460,80"}
            headers["X-Prompt-Prefix"] = f"{request_id}:1460"
            record.write(f"client sends {request_id}")
            answer = await send_request(node, request_id, "/ask/x", headers)
            record.write(f"client of {request_id} got: {answer}")

        names = [secrets.token_hex(8) for _ in range(2 * REQUESTS)]
        tasks = [asyncio.ensure_future(ask(name)) for name in names[:REQUESTS]]
        await asyncio.sleep(0.3)
        if has_trouble:
            record.write("edge-a-1 is killed")
            node.send_signal(signal.SIGKILL)
            await node.wait()
            await asyncio.sleep(0.2)
            await node.start()
            await node.ready()
            record.write("edge-a-1 is ready again")
            # It learns from the other process that this one serves.
            await asyncio.sleep(1.0)
        tasks += [asyncio.ensure_future(ask(name)) for name in names[REQUESTS:]]
        await asyncio.gather(*tasks)
    finally:
        await asyncio.gather(owner.kill(), node.kill())
    return not mixed


main(case)
