"""Stand-ins and gateway processes for the scripts of the second review.

Only the standard library is used. Everything listens on loopback addresses and on
ports that are free when the script starts.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from base64 import b64decode, b64encode
from bisect import bisect_right
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "jepu9.example"
KEY = "9dnn2ctnfzs989anu6ws"
TEAM = "bozi300"
HEARTBEAT_S = 1.2
# Time of an answer of the store, and the rows that one answer holds at most.
ANSWER_S = 0.004
MAX_ROWS = 500


# Below the ports that the kernel gives to outgoing connections.
FIRST_PORT, LAST_PORT = 10_000, 30_000
_used_ports: set[tuple[str, int]] = set()


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that is free now, and that was not returned before."""
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if (ip, port) in _used_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                continue
        _used_ports.add((ip, port))
        return port


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start


class Headers(dict):
    """Header fields by lower-case name."""

    def of(self, name: str) -> str:
        """Return a field, or an empty text."""
        return self.get(name.lower(), "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read the first line and the fields of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    fields = Headers()
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the end of a process with unread input does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        option = struct.pack("ii", 1, 0)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        except OSError:
            pass
    writer.transport.abort()


def response(status: int, body: bytes = b"", **fields: str) -> bytes:
    """Return a whole response; ``_`` in field names stands for a hyphen."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """HTTP/1.1 server; subclasses answer one request at a time on a connection."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip, self.port = ip, port
        self.address = f"{ip}:{port}"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def listen(self) -> None:
        """Begin to accept connections."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=2**20, reuse_address=True
        )

    async def end(self) -> None:
        """End like a process that is killed: connections are reset."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)
        for task in list(self._tasks):
            task.cancel()
        self._writers.clear()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.of("content-length") or 0))
                method, target, _ = line.split(" ", 2)
                if not await self.answer(method, target, fields, body, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def answer(self, method, target, fields, body, writer) -> bool:
        """Answer one request; return whether the connection is kept."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows with a feed of changes and transactions."""

    def __init__(self, ip: str = "127.0.0.1") -> None:
        super().__init__(ip, free_port(ip))
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.changes: list[tuple[int, str, str]] = []
        self.ver = 0
        self.is_down = False
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | dict) -> None:
        """Write a row."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._touch(table, key)
        self.rows[(table, key)] = (data, self.ver)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if self.rows.pop((table, key), None) is not None:
            self._touch(table, key)

    def _touch(self, table: str, key: str) -> None:
        self.ver += 1
        self.changes.append((self.ver, table, key))
        self._changed.set()
        self._changed = asyncio.Event()

    def _since(self, after: int) -> list[tuple[int, str, str]]:
        return self.changes[bisect_right(self.changes, after, key=lambda c: c[0]) :]

    def _row(self, table: str, key: str) -> dict:
        found = self.rows.get((table, key))
        if found is None:
            return {"table": table, "key": key, "deleted": True, "ver": self.ver}
        value, ver = found
        encoded = b64encode(value).decode()
        return {"table": table, "key": key, "value": encoded, "ver": ver}

    def _page(self, rows: list[dict]) -> dict:
        now_ms = int(time.monotonic() * 1000)
        return {"rows": rows, "hasMore": False, "ver": self.ver, "nowMs": now_ms}

    async def answer(self, method, target, fields, body, writer) -> bool:
        """Answer a call."""
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        status, reply = 200, {}
        await asyncio.sleep(ANSWER_S)
        if self.is_down:
            status = 503
        elif parts.path == "/rows-get":
            keys = sorted(k for t, k in self.rows if t == query["table"])
            keys = [k for k in keys if k >= query.get("from", "")]
            if "to" in query:
                keys = [k for k in keys if k < query["to"]]
            page = keys[: min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))]
            reply = self._page([self._row(query["table"], k) for k in page])
            reply["hasMore"] = len(keys) > len(page)
        elif parts.path == "/rows-feed":
            ends_at = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                after = int(query["after"])
                keys = dict.fromkeys(
                    k for _, t, k in self._since(after) if t == query["table"]
                )
                left = ends_at - time.monotonic()
                if keys or left <= 0 or self.is_down:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    pass
            reply = self._page([self._row(query["table"], k) for k in keys])
        elif parts.path == "/rows-tx":
            call = json.loads(body)
            stale = [
                row
                for row in call.get("expectedRev", ())
                if self.rows.get((row["table"], row["key"]), (b"", 0))[1] != row["ver"]
            ]
            if stale:
                status = 412
                reply = self._page([self._row(r["table"], r["key"]) for r in stale])
            else:
                for row in call.get("remove", ()):
                    self.remove(row["table"], row["key"])
                for row in call.get("puts", ()):
                    self.put(row["table"], row["key"], b64decode(row["value"]))
                reply = {"ver": self.ver, "nowMs": int(time.monotonic() * 1000)}
        else:
            status = 404
        data = json.dumps(reply).encode()
        fields_out = {"Content_Type": "application/json", "Store_Era": "1"}
        writer.write(response(status, data, **fields_out))
        await writer.drain()
        return True


class Engine(Server):
    """An engine that streams events, each with the version that made it.

    Each start is a new incarnation, under the same id. The entry is written when the
    engine accepts connections, and then at every heartbeat; the platform removes it
    after three heartbeat intervals of silence.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        version: str = "v1",
        ip: str = "127.0.0.1",
        beat_s: float = HEARTBEAT_S,
    ) -> None:
        super().__init__(ip, free_port(ip))
        self.beat_s = beat_s
        self.name, self.service, self.zone = name, service, zone
        self.version, self.slots = version, 48
        self.store, self.record = store, record
        self.entry_lag_s = 0.0
        self.event_count, self.event_s = 20, 0.1
        self.running = 0
        self.ran: list[str] = []
        self._heart: asyncio.Task | None = None

    async def start(self) -> None:
        """Start a new incarnation."""
        self.born, self.seq, self.running = int(time.time() * 1000), 0, 0
        self._is_registered = False
        await self.listen()
        self.record(f"engine {self.name} starts, version {self.version}")
        self._heart = asyncio.create_task(self._beat())

    def deregister(self) -> None:
        """Remove the entry, without a report; the engine goes on serving."""
        if self._heart is not None:
            self._heart.cancel()
        self.store.remove("servers", self.name)

    async def crash(self) -> None:
        """End without a word."""
        self.record(f"engine {self.name} crashes, version {self.version}")
        if self._heart is not None:
            self._heart.cancel()
        await self.end()
        asyncio.create_task(self._expire(self.born))

    async def _expire(self, born: int) -> None:
        await asyncio.sleep(3 * self.beat_s)
        while self.store.is_down:
            await asyncio.sleep(0.1)
        if self.born == born:
            self.store.remove("servers", self.name)

    async def _beat(self) -> None:
        await asyncio.sleep(self.entry_lag_s)
        while True:
            self.seq += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": "in_service",
                "coldRemainingMs": 0,
                "seq": self.seq,
                "born": self.born,
            }
            is_first = self.seq == 1
            if self.store.is_down:
                # Nothing was written; it is tried again.
                await asyncio.sleep(0.5)
                continue
            if is_first or not self._is_registered:
                self.record(f"engine {self.name} registers, version {self.version}")
            self._is_registered = True
            self.store.put("servers", self.name, entry)
            await asyncio.sleep(self.beat_s)

    def load(self) -> str:
        """Return the load as engines state it."""
        return f"{self.running},0,{self.slots}"

    async def answer(self, method, target, fields, body, writer) -> bool:
        """Run a request, unless it is for another engine."""
        request_id = fields.of("x-request-id")
        common = {"X_Request_Id": request_id, "X_Instance_Id": self.name}
        if fields.of("x-expect-instance") not in ("", self.name):
            writer.write(response(421, b"", X_Not_Executed="1", **common))
            return True
        if not request_id:
            writer.write(response(400, b"", X_Not_Executed="1"))
            return True
        self.ran.append(request_id)
        self.running += 1
        try:
            return await self.run(target, fields, body, writer, common)
        finally:
            self.running -= 1

    async def run(self, target, fields, body, writer, common) -> bool:
        """Stream the events after `Last-Event-Id`."""
        request_id = fields.of("x-request-id")
        first = int(fields.of("last-event-id") or 0) + 1
        self.record(f"{request_id} runs at {self.name} {self.version} from {first}")
        await asyncio.sleep(0.05)
        seal = f"{self.name}.{self.version}.{request_id}"
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {request_id}\r\nX-Server-Seal: {seal}\r\n"
            f"X-Weight-Versions: 1\r\nX-Server-Load: {self.load()}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(first, self.event_count + 1):
            event = f"id: {number}\ndata: {self.version} {self.name} {number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


SETTINGS = """nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane","registry"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [{low},{high}]
seedNodes = [{seeds}]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "registry"
heartbeatMs = {beat_ms}
[zones]
mtl-plateau = "montreal"
qc-limoilou = "quebec-city"
sher-nord = "sherbrooke"
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
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
recoveryS = 12
passMs = 300
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


def _free_subnet() -> int:
    """Return the third byte of addresses at which no gateway serves its metrics."""
    while True:
        subnet = random.randint(20, 250)
        try:
            for number in range(16):
                with socket.socket() as sock:
                    sock.bind((f"127.0.{subnet}.{10 + number}", METRICS_PORT))
        except OSError:
            continue
        return subnet


METRICS_PORT = 9464
_SUBNET = _free_subnet()


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, number: int, zone: str, region: str, folder: Path) -> None:
        self.name = f"edge-{zone}-{number}"
        self.zone, self.region = zone, region
        # All gateways use the same port for their metrics.
        self.ip = f"127.0.{_SUBNET}.{10 + number}"
        self.ports = {
            name: free_port(self.ip)
            for name in ("front", "ready", "control", "directory")
        }
        self._folder = folder
        self.process: asyncio.subprocess.Process | None = None

    @property
    def settings(self) -> Path:
        """Return the path of the settings file."""
        return self._folder / f"{self.name}.toml"

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for requests."""
        return self.ip, self.ports["front"]

    async def start(
        self, store: str, seeds: list[str], beat_s: float = HEARTBEAT_S
    ) -> None:
        """Start the process."""
        low = free_port(self.ip)
        settings = self.settings
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                region=self.region,
                store=store,
                low=low,
                high=low + 15,
                beat_ms=int(beat_s * 1000),
                seeds=",".join(f'"{seed}"' for seed in seeds),
                **self.ports,
            )
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SAPPHIREHOIST_SETTINGS": str(settings),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "sapphirehoist.adapter.main",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        return " 200 " in line

    async def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until the process serves; return whether it does."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


def route(name: str, kind: str, service: str, **more) -> dict:
    """Return a configured route at ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 8000,
        "targetLatencyMs": 1300,
        "priority": 0,
        "maxAttempts": 2,
        "stages": [],
        "streamResume": False,
        "gapAimMs": 400,
        "sessionAffinity": True,
    } | more


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a whole configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TEAM, "apiKeys": [KEY]}],
    }


class Answer:
    """What a client got for one attempt."""

    def __init__(self) -> None:
        self.status = 0
        self.fields = Headers()
        self.body = b""
        self.is_whole = False
        self.error = ""


def request_head(
    path: str, request_id: str, deadline_ms: int, length: int, **fields: str
) -> bytes:
    """Return the head of a POST."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
        f"Content-Length: {length}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer; what arrived before an error stays in `answer`."""
    line, answer.fields = await read_head(reader)
    answer.status = int(line.split(" ")[1])
    if answer.fields.of("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += data[:-2]
    else:
        length = int(answer.fields.of("content-length") or 0)
        answer.body = await reader.readexactly(length)
    answer.is_whole = True


async def ask(
    address: tuple[str, int],
    path: str,
    request_id: str,
    deadline_s: float,
    body: bytes = b"{}",
    **fields: str,
) -> Answer:
    """Send one attempt on a new connection and return what came back."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(*address, limit=2**20)
            head = request_head(
                path, request_id, int(deadline_s * 1000), len(body), **fields
            )
            writer.write(head + body)
            await read_answer(reader, answer)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as exc:
        answer.error = type(exc).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _run_case(run, record: Record, folder: Path, has_trouble: bool) -> bool:
    """Run a case; a SIGTERM ends it with all processes that it has started."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run(record, folder, has_trouble)


def main(run, folder: Path) -> None:
    """Run a case: ``run(record, folder, trouble)`` returns whether the rule held."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {has_trouble}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            has_held = asyncio.run(_run_case(run, record, Path(temporary), has_trouble))
    except (Exception, asyncio.CancelledError) as exc:  # the case could not run
        record(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
    record("held" if has_held else "BROKEN")
    print("held" if has_held else "BROKEN")
    sys.exit(0 if has_held else 1)
