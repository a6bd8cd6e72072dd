"""Stand-ins and helpers for the scripts of the third review; standard library only.

The store, the engines and the clients run in the process of a script. The gateways run
as separate processes, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
from collections import deque
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "downgradeSlackMs": 250,
    "outerMs": 6000,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 56,
    "recoveryS": 12,
    "passMs": 300,
    "reuseWindowS": 8.1,
    "ttl_max_s": 5,
}
_STORE_ANSWER_S = 0.004
_TRANSACTION_S = 0.005
_HISTORY_S = 20.0


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line with the present time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, by lower-case name; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers.setdefault(name.strip().lower(), value.strip())
    return first, headers


def encode_response(
    status: int, headers: dict[str, str], body: bytes | None = b""
) -> bytes:
    """Return a response; without a body, its head of a chunked one."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + (body or b"")


class Store:
    """The platform's metadata store: rows, their feed and transactions.

    It listens at one address for each machine, so that it knows who calls.
    """

    def __init__(self, record: Record) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.version = 0
        self.read_counts: dict[tuple[str, str], int] = {}
        self._record = record
        self._changes: deque[tuple[float, int, str, str]] = deque()
        self._oldest_version = 0
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, ip: str, port: int, caller: str) -> None:
        """Listen at the address that the machine `caller` has in its settings."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(reader, writer, caller)

        self._servers.append(await asyncio.start_server(serve, ip, port))

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as JSON."""
        self._put(table, key, json.dumps(value).encode())

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if self.rows.pop((table, key), None) is not None:
            self._note(table, key)

    def _put(self, table: str, key: str, value: bytes) -> None:
        self._note(table, key)
        self.rows[(table, key)] = (value, self.version)

    def _note(self, table: str, key: str) -> None:
        self.version += 1
        now = time.monotonic()
        self._changes.append((now, self.version, table, key))
        while self._changes[0][0] < now - _HISTORY_S:
            self._oldest_version = self._changes.popleft()[1]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, caller: str
    ) -> None:
        with suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = first.split(" ")
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                await asyncio.sleep(_STORE_ANSWER_S)
                status, answer = await self._answer(
                    method, url.path, query, body, caller
                )
                writer.write(
                    encode_response(
                        status,
                        {"Content-Type": "application/json"},
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes, caller: str
    ) -> tuple[int, dict]:
        if method == "GET":
            key = (caller, query.get("table", ""))
            self.read_counts[key] = self.read_counts.get(key, 0) + 1
        if (method, path) == ("GET", "/rows-get"):
            return 200, self._get(query)
        if (method, path) == ("GET", "/rows-feed"):
            return await self._feed(query)
        if (method, path) == ("POST", "/rows-tx"):
            await asyncio.sleep(_TRANSACTION_S)
            return self._transact(json.loads(body))
        return 404, {}

    def _page(self, rows: list[dict], has_more: bool = False) -> dict:
        now_ms = int(time.monotonic() * 1000)
        return {"rows": rows, "hasMore": has_more, "ver": self.version, "nowMs": now_ms}

    def _row(self, table: str, key: str) -> dict:
        found = self.rows.get((table, key))
        row = {"table": table, "part": "", "key": key}
        if found is None:
            return row | {"deleted": True, "ver": self.version}
        value = base64.b64encode(found[0]).decode()
        return row | {"value": value, "ver": found[1]}

    def _get(self, query: dict[str, str]) -> dict:
        start, end = query.get("from", ""), query.get("to", "")
        keys = sorted(
            key
            for table, key in self.rows
            if table == query["table"] and key >= start and (not end or key < end)
        )
        limit = min(500, int(query.get("limit", "500")))
        rows = [self._row(query["table"], key) for key in keys[:limit]]
        return self._page(rows, len(keys) > limit)

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        table, after = query["table"], int(query["after"])
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if after < self._oldest_version:
                return 410, {}
            keys = dict.fromkeys(
                key for _, ver, t, key in self._changes if t == table and ver > after
            )
            left_s = ends_at - time.monotonic()
            if keys or left_s <= 0:
                return 200, self._page([self._row(table, key) for key in keys])
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body.get("expectedRev", []):
            found = self.rows.get((row["table"], row["key"]))
            if (found[1] if found else 0) != row.get("ver", 0):
                return 412, self._page([self._row(row["table"], row["key"])])
        for row in body.get("remove", []):
            self.remove(row["table"], row["key"])
        for row in body.get("puts", []):
            self._put(row["table"], row["key"], base64.b64decode(row["value"]))
        return 200, {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}


class Engine:
    """An engine that registers itself, writes its entry again, and serves requests.

    Subclasses override `answer`.
    """

    def __init__(
        self, record: Record, store: Store, name: str, service: str, address: str
    ) -> None:
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.address = address
        self.zone = ""
        self.version = "1"
        self.slots = 16
        self.born = 0
        # Difference between the clock of its machine and the true time.
        self.clock_ms = 0
        self.state = "in_service"
        self.seq = 0
        self.running = 0
        # Time, request id and front of each request that was not rejected.
        self.arrivals: list[tuple[float, str, str]] = []
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task | None = None
        self._connections: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen, and register a new incarnation."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, ip, int(port), reuse_address=True
        )
        self.born = int(time.time() * 1000) + self.clock_ms
        self.seq = 0
        self.write_entry()
        self._beat = asyncio.create_task(self._write_again())
        self.record.write(f"engine {self.name} starts, version {self.version}")

    def write_entry(self) -> None:
        """Write the entry of this incarnation."""
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self.seq,
            "born": self.born,
        }
        self.store.put("servers", self.name, entry)

    async def _write_again(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    def drain(self) -> None:
        """Report `draining`, and serve on."""
        self.state = "draining"
        self.write_entry()
        self.record.write(f"engine {self.name} has reported that it is draining")

    def leave(self) -> None:
        """Remove the entry without reporting `draining` before, and serve on."""
        if self._beat is not None:
            self._beat.cancel()
        self.store.remove("servers", self.name)
        self.record.write(f"engine {self.name} has removed its entry")

    def end(self) -> None:
        """Close all connections at once, like a process that ends."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()
        self.record.write(f"engine {self.name} ends with {self.running} running")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                expected = headers.get("x-expect-instance", self.name)
                if expected != self.name:
                    writer.write(
                        encode_response(421, {"X-Instance-Id": self.name, **_REFUSED})
                    )
                    continue
                self.running += 1
                try:
                    await self.answer(first, headers, body, writer)
                finally:
                    self.running -= 1
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
            return
        finally:
            self._connections.discard(task)
            writer.close()

    async def answer(
        self,
        first: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request; by default at once."""
        writer.write(encode_response(200, self.answer_headers(headers)))

    def answer_headers(self, headers: dict[str, str]) -> dict[str, str]:
        """Return the headers of an answer."""
        return {
            "X-Request-Id": headers.get("x-request-id", ""),
            "X-Server-Seal": f"{self.name}.{self.born}",
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }


_REFUSED = {"X-Not-Executed": "1"}


class Machine:
    """One machine with one gateway process."""

    def __init__(
        self, name: str, ip: str, zone: str, region: str, store: str, ports: int
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.region = region
        self.store = store
        self.front, self.ready, self.control, self.directory = (
            f"{ip}:{ports + i}" for i in range(4)
        )
        self.process: subprocess.Popen | None = None

    def settings(self, machines: list[Machine]) -> str:
        """Return the settings file, in the platform's format."""
        zones = {machine.zone: machine.region for machine in machines}
        seeds = [machine.control for machine in machines[:3]]
        lines = [
            f'nodeName = "{self.name}"',
            'role = "gateway"',
            'machineClass = "edge"',
            'serves = ["edge", "control_plane", "registry"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            f'region = "{self.region}"',
            f"seedNodes = {json.dumps(seeds)}",
            "bootstrap = true",
            'discovery = "platform"',
            'entry = "registry"',
            f"heartbeatMs = {int(HEARTBEAT_S * 1000)}",
            "[zones]",
            *(f'{zone} = "{region}"' for zone, region in zones.items()),
            "[listen]",
            f'front = "{self.front}"',
            f'ready = "{self.ready}"',
            f'control = "{self.control}"',
            f'directory = "{self.directory}"',
            "[limits]",
            "cpuShare = 0.537",
            "cpuCores = 2",
            "memoryMb = 300",
            "maxFds = 4100",
            "linkMbps = 1000.0",
            "diskMb = 0",
            "[bounds]",
            *(f"{name} = {value}" for name, value in BOUNDS.items()),
            "[platform]",
            f'address = "{self.store}"',
            'form = "table"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "txMs = 5.0",
            "partitionWritesS = 200",
            "rowBytes = 65536",
            "across = false",
            "historyS = 20",
        ]
        return "\n".join(lines) + "\n"


class Site:
    """The machines of a case, their store, and a temporary folder."""

    def __init__(self, folder: Path) -> None:
        # A script that is ended still ends its processes.
        signal.signal(signal.SIGTERM, _interrupt)
        self.record = Record(folder)
        self.store = Store(self.record)
        self.machines: list[Machine] = []
        self.engines: list[Engine] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review3-"))
        # Addresses that no other program uses, so that ports are free.
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._ports = random.randint(21_000, 29_000)
        self._next_host = 10

    def next_address(self) -> str:
        """Return an unused ``IP:PORT`` for an engine."""
        self._next_host += 1
        return f"{self._net}.{self._next_host}:{self._ports}"

    async def add_machine(self, name: str, zone: str, region: str) -> Machine:
        """Add a machine, with an address of the store of its own."""
        self._next_host += 2
        store_ip = f"{self._net}.{self._next_host - 1}"
        machine = Machine(
            name,
            f"{self._net}.{self._next_host}",
            zone,
            region,
            f"{store_ip}:{self._ports + 10}",
            self._ports + 20,
        )
        await self.store.listen(store_ip, self._ports + 10, name)
        self.machines.append(machine)
        return machine

    def start(self, machine: Machine) -> None:
        """Start the gateway of a machine with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        settings = self._folder / f"{machine.name}.toml"
        settings.write_text(machine.settings(self.machines))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["SAPPHIREHOIST_SETTINGS"] = str(settings)
        log = (self._folder / f"{machine.name}.log").open("ab")
        machine.process = subprocess.Popen(
            deploy["roles"]["gateway"]["run"].split(),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record.write(f"{machine.name} starts")

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the gateway of a machine."""
        assert machine.process is not None
        machine.process.send_signal(number)
        self.record.write(f"{machine.name} gets {number.name}")

    async def wait_until_ready(self, timeout_s: float = 20.0) -> bool:
        """Return whether all machines say in time that they are ready."""
        ends_at = time.monotonic() + timeout_s
        for machine in self.machines:
            while not await is_ready(machine):
                if time.monotonic() > ends_at:
                    return False
                await asyncio.sleep(0.1)
        return True

    def log_lines(self, machine: Machine, text: str) -> list[str]:
        """Return the lines of a machine's log that contain `text`."""
        path = self._folder / f"{machine.name}.log"
        return [line for line in path.read_text().splitlines() if text in line]

    def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        for machine in self.machines:
            if machine.process is not None:
                with suppress(ProcessLookupError):
                    machine.process.kill()
                machine.process.wait()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print(self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


async def is_ready(machine: Machine) -> bool:
    """Return whether the gateway of a machine says that it is ready."""
    ip, _, port = machine.ready.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
    except OSError:
        return False
    try:
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), 1.0)
        return head is not None and head[0].split()[1] == "200"
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


class Client:
    """A client that keeps one connection to one front open."""

    def __init__(self, machine: Machine, host: str, key: str) -> None:
        self.machine = machine
        self._host = host
        self._key = key
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> tuple[int, dict[str, str], bytes, bool]:
        """Send a request; return status, headers, body, and whether it is whole.

        The status is 0 if there was no answer.
        """
        status, answer_headers, parts = 0, {}, bytearray()
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._stream is None:
                    ip, _, port = self.machine.front.rpartition(":")
                    self._stream = await asyncio.open_connection(ip, int(port))
                reader, writer = self._stream
                fields = {
                    "Host": self._host,
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": str(deadline_ms),
                    "Authorization": f"Bearer {self._key}",
                    "Content-Length": str(len(body)),
                } | (headers or {})
                lines = [f"{method} {path} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in fields.items()]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                head = await read_head(reader)
                if head is None:
                    self.close()
                    return 0, {}, b"", False
                status, answer_headers = int(head[0].split()[1]), head[1]
                if answer_headers.get("transfer-encoding") == "chunked":
                    while size := int(await reader.readuntil(b"\r\n"), 16):
                        parts += (await reader.readexactly(size + 2))[:-2]
                    await reader.readexactly(2)
                else:
                    length = int(answer_headers.get("content-length", "0"))
                    parts += await reader.readexactly(length)
                if answer_headers.get("connection", "") == "close":
                    self.close()
                return status, answer_headers, bytes(parts), True
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return status, answer_headers, bytes(parts), False

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None


def _interrupt(number: int, frame: object) -> None:
    """End the script once; ``timeout`` may send the signal twice."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise KeyboardInterrupt


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"
