"""A process that is stopped cuts requests off whose pieces still wait in its queue.

Requests with a stage arrive before a SIGTERM and within 2.5 s after it, while clients
still use the address. All are admitted, and the engine of the stage computes their
pieces in turn. Only requests count for which no engine was called before they were cut.
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

REQUESTS_BEFORE, REQUESTS_AFTER = 24, 12
PIECES = 7
CALL_S, PIECE_S = 0.150, 0.018
SLACK_S, GRACE_S = 0.2, 8.0
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
    """Return whether each request that was read got an answer or a refusal."""
    # Ids of the requests for which an engine has ever been called.
    called: set[str] = set()
    cut: list[str] = []
    turn = asyncio.Lock()

    async def compute(engine, request: Message, reader, writer) -> bool:
        if request.path != "/stage-run":
            writer.write(encode_response(200, b"{}"))
            return True
        items = json.loads(request.body)["items"]
        ids = {item["id"] for item in items}
        called.update(ids)
        async with turn:
            await asyncio.sleep(CALL_S + PIECE_S * len(items))
        answers = [
            {"handleId": f"{engine.address}/{secrets.token_hex(6)}"} for _ in items
        ]
        record.write(f"stage engine has run {len(items)} pieces of {', '.join(ids)}")
        writer.write(encode_response(200, json.dumps({"items": answers}).encode()))
        return True

    async def generate(engine, request: Message, reader, writer) -> bool:
        record.write(f"model engine runs {request.request_id}")
        body = b"id: 1\ndata: done\n\n"
        headers = [*sealed(engine, request), ("Content-Type", "text/event-stream")]
        writer.write(encode_response(200, body, headers))
        return True

    store = Store(loopback(0))
    await store.start()
    store.put("op", "config", config(1, ROUTES, SERVICES))
    for engine in (
        Engine("i-model", "assistant", store, generate, loopback(1), slots=48),
        Engine("i-stage", "accounts", store, compute, loopback(2), slots=1),
    ):
        await engine.start()
    node = Gateway("edge-a-1", loopback(3), "zone-a", store, folder)
    try:
        await node.start()
        await node.ready()
        await asyncio.sleep(2.0)

        async def ask(request_id: str) -> None:
            headers = {"X-Pieces": str(PIECES), "X-Piece-Key": request_id}
            headers |= {"X-Model": "m", "X-Token-Count": "1460,80"}
            headers["X-Prompt-Prefix"] = f"{request_id}:1460"
            record.write(f"client sends {request_id}")
            sent_at = record.now()
            answer = await send_request(node, request_id, "/ask/x", headers)
            record.write(f"client of {request_id} got: {answer}")
            waited_s = record.now() - sent_at
            is_cut = answer.message is None and waited_s > SLACK_S
            if not is_cut or answer.ended.startswith("no connection"):
                return
            if request_id in called:
                record.write(f"not counted: an engine was called for {request_id}")
                return
            cut.append(request_id)
            record.write(
                f"LOST: {request_id} was cut off after {waited_s:.1f} s with no answer,"
                " and no engine was called for it"
            )

        tasks = [
            asyncio.ensure_future(ask(secrets.token_hex(8)))
            for _ in range(REQUESTS_BEFORE)
        ]
        await asyncio.sleep(1.0)
        stopped_at = record.now()
        if has_trouble:
            record.write("SIGTERM to edge-a-1")
            node.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.5)
        tasks += [
            asyncio.ensure_future(ask(secrets.token_hex(8)))
            for _ in range(REQUESTS_AFTER)
        ]
        await asyncio.gather(*tasks)
        if has_trouble:
            code = await asyncio.wait_for(node.wait(), GRACE_S)
            record.write(
                f"edge-a-1 ended with code {code}, {record.now() - stopped_at:.1f} s"
                " after SIGTERM"
            )
    finally:
        await node.kill()
    return not cut


main(case)
