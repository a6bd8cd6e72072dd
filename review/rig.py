"""Stand-ins for the platform's store, engines and clients, and gateway processes.

Standard library only, in one asyncio loop. The gateways are started with the command of
`deploy/system.toml`, on loopback addresses of their own.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PASSED, BROKEN, NOT_RUN = 0, 1, 2
_MAX_CASE_S = 110.0
_SETTINGS = """
nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge", "control_plane", "registry"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [7740, 7755]
seedNodes = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
[zones]
zone-a = "region-a"
zone-b = "region-b"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 2500
graceS = 8
lossSlackMs = 200
configApplyMs = 2500
downgradeSlackMs = 250
outerMs = 6000
revokeStrict = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
recoveryS = 12
passMs = 300
reuseWindowS = 8.1
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partitionWritesS = 200
rowBytes = 65536
across = false
historyS = 20
"""


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what happened to `record.txt`, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


@dataclass
class Message:
    """A parsed HTTP request or response."""

    first_line: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Return the first header of this name."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])

    @property
    def request_id(self) -> str:
        """Return the request id."""
        return self.get("X-Request-Id")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return Message(first_line, headers)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message with a length or chunks; None if it ends early."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.get("Transfer-Encoding").lower() == "chunked":
            blocks = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                block = await reader.readexactly(size + 2)
                if not size:
                    break
                blocks.append(block[:-2])
            message.body = b"".join(blocks)
        else:
            length = int(message.get("Content-Length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode_response(
    status: int, body: bytes = b"", headers: list[tuple[str, str]] | None = None
) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers or []]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset the connection of a writer."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: rows, a change feed and transactions, of one part."""

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self.address = ""
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._changes: list[tuple[int, str, str]] = []
        self._version = 0
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Start to listen."""
        server = await asyncio.start_server(self._serve, self._ip, 0)
        self.address = f"{self._ip}:{server.sockets[0].getsockname()[1]}"

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._version += 1
        self._rows[(table, key)] = (data, self._version)
        self._mark(table, key)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if self._rows.pop((table, key), None) is not None:
            self._version += 1
            self._mark(table, key)

    def _mark(self, table: str, key: str) -> None:
        self._changes.append((self._version, table, key))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, payload = await self._answer(request)
                headers = [
                    ("Content-Type", "application/json"),
                    ("Store-Era", "1"),
                ]
                await asyncio.sleep(0.004)
                writer.write(
                    encode_response(status, json.dumps(payload).encode(), headers)
                )
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        query = dict(
            urllib.parse.parse_qsl(
                request.target.partition("?")[2], keep_blank_values=True
            )
        )
        if request.path == "/rows-get":
            start, end = query.get("from", ""), query.get("to", "")
            keys = sorted(
                key
                for table, key in self._rows
                if table == query["table"] and key >= start and (not end or key < end)
            )
            return 200, self._page([self._row(query["table"], key) for key in keys])
        if request.path == "/rows-feed":
            ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            after = int(query["after"])
            while not (keys := self._keys_since(query["table"], after)):
                changed = self._changed
                try:
                    await asyncio.wait_for(
                        changed.wait(), max(0.0, ends_at - time.monotonic())
                    )
                except TimeoutError:
                    break
            return 200, self._page([self._row(query["table"], key) for key in keys])
        if request.path == "/rows-tx":
            return self._transact(json.loads(request.body))
        return 404, {}

    def _transact(self, body: dict) -> tuple[int, dict]:
        for condition in body.get("expectedRev", []):
            key = (condition["table"], condition["key"])
            if self._rows.get(key, (b"", 0))[1] != condition["ver"]:
                return 412, self._page([self._row(*key)])
        for row in body.get("remove", []):
            self.remove(row["table"], row["key"])
        for row in body.get("puts", []):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        return 200, {"ver": self._version, "nowMs": int(time.monotonic() * 1000)}

    def _row(self, table: str, key: str) -> dict:
        found = self._rows.get((table, key))
        if found is None:
            return {"table": table, "key": key, "ver": self._version, "deleted": True}
        value, version = found
        encoded = base64.b64encode(value).decode()
        return {"table": table, "key": key, "value": encoded, "ver": version}

    def _page(self, rows: list[dict]) -> dict:
        now_ms = int(time.monotonic() * 1000)
        return {"rows": rows, "hasMore": False, "ver": self._version, "nowMs": now_ms}

    def _keys_since(self, table: str, after: int) -> list[str]:
        keys = [key for v, t, key in self._changes if t == table and v > after]
        return list(dict.fromkeys(keys))


Handler = Callable[
    ["Engine", Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


@dataclass
class Engine:
    """An engine with its entry in the store.

    `handler` answers one request and returns whether the connection is kept.
    """

    name: str
    service: str
    store: Store
    handler: Handler
    ip: str
    zone: str = "zone-a"
    slots: int = 4
    version: str = "v1"
    address: str = ""
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    seq: int = 0
    state: str = "in_service"
    is_up: bool = False
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Start to listen and to write the entry every 1.2 s."""
        await self._listen(0)
        asyncio.ensure_future(self._beat())

    async def crash(self, down_s: float, version: str | None = None) -> None:
        """Reset all connections; start again under the same id after `down_s`.

        The engine starts again with `version` of its software, if it is given.
        """
        self.is_up = False
        self._server.close()
        for writer in list(self._writers):
            reset(writer)
        await asyncio.sleep(down_s)
        self.version = version or self.version
        self.born, self.seq = int(time.time() * 1000), 0
        await self._listen(int(self.address.rpartition(":")[2]))

    async def _listen(self, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, port)
        self.address = f"{self.ip}:{self._server.sockets[0].getsockname()[1]}"
        self.is_up = True
        self.write_entry()

    def write_entry(self) -> None:
        """Write the entry once."""
        self.seq += 1
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "seq": self.seq,
                "born": self.born,
            },
        )

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            if self.is_up:
                self.write_entry()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                expected = request.get("X-Expect-Instance")
                if expected and expected != self.name:
                    headers = [
                        ("X-Request-Id", request.request_id),
                        ("X-Not-Executed", "1"),
                    ]
                    writer.write(encode_response(421, b"", headers))
                    continue
                if not await self.handler(self, request, reader, writer):
                    break
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(
        self, name: str, ip: str, zone: str, store: Store, folder: Path, seeds: str = ""
    ) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        ports = random.Random(f"{os.getpid()} {name}").sample(range(20_000, 32_000), 4)
        keys = ("front", "ready", "control", "directory")
        self.ports = dict(zip(keys, ports, strict=True))
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                region=zone.replace("zone", "region"),
                store=store.address,
                seeds=seeds,
                **self.ports,
            )
        )

    async def start(self) -> None:
        """Start the process; its output goes to a file of the temporary folder."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split(" ")
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env["LANG"] = "C.UTF-8"
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["SAPPHIREHOIST_SETTINGS"] = str(self._settings)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def ready(self, limit_s: float = 20.0) -> None:
        """Wait until the readiness probe is answered with 200."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} is not ready after {limit_s} s")

    async def is_ready(self) -> bool:
        """Ask the readiness probe once."""
        request = f"GET /readiness HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode()
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
        except OSError:
            return False
        try:
            writer.write(request)
            answer = await asyncio.wait_for(read_head(reader), 1.0)
            return answer is not None and answer.status == 200
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has ended."""
        return await self._process.wait()

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def return_code(self) -> int | None:
        """Return the exit code of a process that has ended."""
        return None if self._process is None else self._process.returncode

    async def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.is_running:
            self._process.kill()
            await self._process.wait()


@dataclass
class Answer:
    """What a client saw: the response, or how its connection ended."""

    message: Message | None
    ended: str = ""

    def __str__(self) -> str:
        if self.message is None:
            return self.ended
        return f"{self.message.status} {self.message.body[:100]!r}"


async def send_request(
    gateway: Gateway,
    request_id: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    method: str = "POST",
    limit_s: float = 30.0,
    deadline_ms: int = 12_000,
) -> Answer:
    """Send a request on a new connection and return its answer."""
    lines = {
        "Host": "h.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": "Bearer key-a",
        "Content-Length": str(len(body)),
    } | (headers or {})
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in lines.items()
    )
    try:
        reader, writer = await asyncio.open_connection(
            gateway.ip, gateway.ports["front"]
        )
    except OSError as exc:
        return Answer(None, f"no connection: {exc}")
    try:
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        answer = await asyncio.wait_for(read_message(reader), limit_s)
    except TimeoutError:
        return Answer(None, f"no answer for {limit_s} s")
    except OSError as exc:
        return Answer(None, f"connection broken: {exc}")
    finally:
        writer.close()
    if answer is None:
        return Answer(None, "the connection was closed without a complete answer")
    return Answer(answer)


def loopback(number: int) -> str:
    """Return a loopback address that other runs do not use."""
    pid = os.getpid()
    return f"127.{1 + pid % 250}.{pid // 250 % 250}.{10 + number}"


def route(name: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "h.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 12_000,
        "targetLatencyMs": 3_300,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "stages": [],
        "authExempt": False,
        "streamResume": False,
        "gapAimMs": 400,
    } | more


def config(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "team-a", "apiKeys": ["key-a"]}],
    }


def sealed(engine: Engine, request: Message) -> list[tuple[str, str]]:
    """Return the headers of an engine's own answer."""
    return [("X-Request-Id", request.request_id), ("X-Server-Seal", engine.name)]


Case = Callable[[Record, Path, bool], Awaitable[bool]]


def main(case: Case) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if not, 2 if it did not run.

    The case gets the record, a temporary folder, and whether there is trouble; it
    returns whether the rule held. It must stop the processes that it started.
    """
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {has_trouble}")

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            return await asyncio.wait_for(
                case(record, Path(temporary), has_trouble), _MAX_CASE_S
            )

    try:
        is_kept = asyncio.run(run())
    except (CaseError, OSError, TimeoutError) as exc:
        record.write(f"not run: {exc!r}")
        print(f"not run: {exc!r}")
        sys.exit(NOT_RUN)
    verdict = "the rule held" if is_kept else "the rule was broken"
    record.write(verdict)
    print(verdict)
    sys.exit(PASSED if is_kept else BROKEN)
