"""Stand-ins for the scripts of review 3: the platform's store, engines, and starts of instances.

Everything listens on loopback. Messages follow the platform's pages: an HTTP/1.1 store with rows
and feeds, and engines that echo Attempt-Id, sign their answers and reject requests that expect
another instance. Standard library only.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BOUNDS = {
    "config_apply_ms": 2500,
    "drain_ms": 2500,
    "grace_s": 8,
    "retry_budget_ratio": 0.8,
    "budget_window_s": 10,
    "budget_slack": 150,
}


def free_port():
    """Returns a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def slow_socket():
    """Returns a socket of a requester with little memory on a link with small packets.

    The sender's system holds the less for a connection, the fewer bytes are on their way at a time
    and the shorter the segments are: 536 bytes is the default of IPv4. With a larger buffer, some
    kinds of congestion control make the sender hold hundreds of kB on loopback. The socket has an
    address of its own, since the system may keep what it learned of an address.
    """
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
    host = ".".join(str(random.randint(1, 254)) for _ in range(3))
    sock.bind((f"127.{host}", 0))
    return sock


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start = time.monotonic()

    def line(self, text):
        """Writes a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        """Writes a line and prints it."""
        self.line(text)
        print(text, flush=True)


class Message:
    """A received request or response."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    def get(self, name, default=None):
        """Returns the value of a header."""
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads the first line and the headers, or returns None at the end of the channel."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Reads a request or a response that has a length or is in chunks."""
    first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += part[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def response(status, headers=None, body=b""):
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def first_page(rows):
    """Returns the rows that one answer of the store holds: at most 500, or 1 MB."""
    size = 0
    for number, row in enumerate(rows):
        size += len(row.get("value", "")) + 200
        if number > 0 and (size > 1_000_000 or number >= 500):
            return rows[:number]
    return rows


class Store:
    """The platform's store: rows with versions, reads, feeds and transactions."""

    def __init__(self):
        self.port = free_port()
        self._rows = {}
        self._ver = 1
        self._changed = asyncio.Condition()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 24)

    async def put(self, table, key, value):
        """Writes a row as the operator or an engine does; None removes it."""
        async with self._changed:
            self._ver += 1
            data = None if value is None else json.dumps(value).encode()
            self._rows[(table, "", key)] = (data, self._ver)
            self._changed.notify_all()

    async def put_bytes(self, table, key, data):
        """Writes a row as another writer does."""
        async with self._changed:
            self._ver += 1
            self._rows[(table, "", key)] = (data, self._ver)
            self._changed.notify_all()

    def _listed(self, table, since=0, removed=False):
        rows = []
        for (name, _, key), (data, ver) in self._rows.items():
            if name == table and ver > since and (removed or data is not None):
                row = {"table": table, "part": "", "key": key, "ver": ver}
                if data is None:
                    row["removed"] = True
                else:
                    row["value"] = base64.b64encode(data).decode()
                rows.append(row)
        return rows

    def _answer(self, rows, **more):
        now = int(time.monotonic() * 1000)
        return json.dumps({"rows": rows, "ver": self._ver, "now_ms": now, **more}).encode()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                status, body = await self._handle(request)
                writer.write(response(status, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/gentianwalk/rows-get":
            rows = sorted(self._listed(query["table"]), key=lambda row: row["key"].encode())
            start = query.get("from", "").encode()
            rows = [row for row in rows if row["key"].encode() >= start]
            page = first_page(rows)
            return 200, self._answer(page, has_more=len(page) < len(rows))
        if url.path == "/gentianwalk/rows-feed":
            since = int(query["since_revision"])
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            async with self._changed:
                while True:
                    rows = self._listed(query["table"], since, removed=True)
                    left = until - time.monotonic()
                    if rows or left <= 0:
                        rows.sort(key=lambda row: row["ver"])
                        page = first_page(rows)
                        answer = json.loads(self._answer(page))
                        if len(page) < len(rows):
                            answer["ver"] = page[-1]["ver"]
                        return 200, json.dumps(answer).encode()
                    try:
                        await asyncio.wait_for(self._changed.wait(), left)
                    except TimeoutError:
                        pass
        if url.path == "/gentianwalk/rows-tx":
            call = json.loads(request.body)
            async with self._changed:
                for row in call["expected_revision"]:
                    key = (row["table"], row["part"], row["key"])
                    data, ver = self._rows.get(key, (None, 0))
                    if (0 if data is None else ver) != row["ver"]:
                        rows = [r for r in self._listed(row["table"]) if r["key"] == row["key"]]
                        return 412, self._answer(rows)
                self._ver += 1
                for row in call["set_keys"]:
                    key = (row["table"], row["part"], row["key"])
                    self._rows[key] = (base64.b64decode(row["value"]), self._ver)
                for row in call["remove"]:
                    self._rows[(row["table"], row["part"], row["key"])] = (None, self._ver)
                self._changed.notify_all()
                return 200, json.dumps({"ver": self._ver, "now_ms": 1}).encode()
        return 404, b"{}"


class Engine:
    """An engine of a plain service. `answer` makes the body of a request's answer."""

    def __init__(self, name, service, record, slots=6, answer=None, work_s=0.02):
        self.name = name
        self.service = service
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self.runs = {}
        self.readers = {}
        self._record = record
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._answer = answer or (lambda request: b"done\n")
        self._work_s = work_s
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 24)

    def entry(self, state="ready"):
        """Returns the engine's entry in the table of engines."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "brugge",
            "version": "v1",
            "slots": self._slot_count,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                self.readers[writer] = reader
                await self.handle(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.readers.pop(writer, None)
            writer.close()

    async def exit(self):
        """Ends the engine: it listens no more, and its channels are reset."""
        self._server.close()
        for writer in list(self.readers):
            writer.transport.abort()

    def is_closed(self, writer):
        """Returns whether the other side has closed a channel."""
        reader = self.readers[writer]
        return reader.at_eof() or reader.exception() is not None

    async def handle(self, request, writer):
        """Answers a request."""
        if request.target == "/healthz":
            writer.write(response(200, {"Instance-Id": self.name}))
        elif request.get("Expect-Instance") not in (None, self.name):
            writer.write(response(421, {"Instance-Id": self.name, "Not-Executed": "1"}))
        else:
            async with self._slots:
                attempt = request.get("Attempt-Id", "")
                self.runs[attempt] = self.runs.get(attempt, 0) + 1
                self._record.line(f"{self.name} runs {attempt} {request.target}")
                await asyncio.sleep(self._work_s)
                body = self._answer(request)
            headers = {
                "Attempt-Id": attempt,
                "Response-Signature": f"sig.{self.name}.{attempt}",
                "Keep-Alive": "timeout=10",
            }
            writer.write(response(200, headers, body))
        await writer.drain()


class ModelEngine(Engine):
    """A model engine: reads one prompt at a time, then sends the events of each stream.

    `lose` is asked for each request that has been read; if it says so, the engine runs the request
    and its answer is lost: the channel is reset before a byte of it is sent.
    """

    TOKENS_PER_MS = 8
    MEMORY_TOKENS = 88_000
    EVENTS = 12
    EVENT_S = 0.05

    def __init__(self, name, service, record, lose=None):
        super().__init__(name, service, record, slots=16)
        self._reads = asyncio.Lock()
        self._lose = lose or (lambda request: False)
        self.arrivals = []

    async def handle(self, request, writer):
        """Answers a request."""
        if request.target == "/healthz":
            writer.write(response(200, {"Instance-Id": self.name}))
            await writer.drain()
            return
        if request.target.startswith("/gentianwalk/report"):
            body = {"stage": "hybrid", "models": [], "waiting": 0, "running": 0}
            writer.write(response(200, {"Instance-Id": self.name}, json.dumps(body).encode()))
            await writer.drain()
            return
        if request.target.startswith("/gentianwalk/kv-list"):
            body = {"epoch": 1, "next": 1, "held": []}
            writer.write(response(200, {"Instance-Id": self.name}, json.dumps(body).encode()))
            await writer.drain()
            return
        if request.get("Expect-Instance") not in (None, self.name):
            writer.write(response(421, {"Instance-Id": self.name, "Not-Executed": "1"}))
            await writer.drain()
            return
        attempt = request.get("Attempt-Id", "")
        self.arrivals.append((time.monotonic(), attempt))
        self._record.line(f"{attempt} reaches {self.name}")
        tokens, output = map(int, request.get("Token-Usage", "0,0").split(","))
        if tokens + output > self.MEMORY_TOKENS:
            writer.write(response(503, {"Attempt-Id": attempt, "Not-Executed": "1"}))
            await writer.drain()
            return
        async with self._reads:
            await asyncio.sleep(tokens / self.TOKENS_PER_MS / 1000)
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self._record.line(f"{self.name} runs {attempt}")
        if self._lose(request):
            self._record.line(f"{self.name} loses the answer to {attempt}")
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            writer.close()
            raise ConnectionResetError("the answer is lost")
        headers = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {attempt}",
            f"Response-Signature: sig.{self.name}.{attempt}",
            "Content-Type: text/event-stream",
            "Keep-Alive: timeout=10",
            "Transfer-Encoding: chunked",
            "",
            "",
        ]
        writer.write("\r\n".join(headers).encode())
        for number in range(int(request.get("Last-Event-Id", "0")) + 1, self.EVENTS + 1):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Instance:
    """A process of the program that the deploy file runs."""

    def __init__(self, name, store, folder, seeds=(), zone="brugge"):
        self.name = name
        self.front = f"{HOST}:{free_port()}"
        self.ready = f"{HOST}:{free_port()}"
        self.control = f"{HOST}:{free_port()}"
        self._zone = zone
        self._store = store
        self._folder = Path(folder)
        self.process = None
        self.log = self._folder / f"{name}.log"

    @property
    def front_port(self):
        return int(self.front.rpartition(":")[2])

    def _fields(self):
        return {
            "node_name": self.name,
            "zone": self._zone,
            "region": "vlaanderen-west",
            "ip": HOST,
            "listen.front": self.front,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "platform.address": f"{HOST}:{self._store.port}",
            **{f"bounds.{key}": str(value) for key, value in BOUNDS.items()},
        }

    def _fill(self, text):
        text = re.sub(
            r"\{\{#zones\}\}.*?\{\{/zones\}\}",
            '"brugge": "vlaanderen-west", "gent": "vlaanderen-oost"',
            text,
        )
        fields = self._fields()
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: fields.get(match[1], ""), text)

    async def start(self):
        """Starts the process with the command, template and variables of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = next(iter(deploy["roles"].values()))
        settings = self._folder / f"{self.name}.yaml"
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings.write_text(self._fill(template), encoding="utf-8")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["GENTIANWALK_BOOT"] = str(settings)
        env.update({name: self._fill(text) for name, text in role.get("env", {}).items()})
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._fill(role["run"]).split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def wait_ready(self, seconds=20):
        """Waits until the readiness page answers 200."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self, seconds=1.0):
        """Asks the readiness page once."""
        try:
            host, _, port = self.ready.rpartition(":")
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), seconds
            )
            writer.write(b"GET /gentianwalk/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), seconds)
            writer.close()
            return message.status == 200
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False

    def send(self, number):
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def end(self):
        """Kills the process."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()


def request_bytes(method, target, attempt, body=b"", deadline_ms=3000, extra=None):
    """Returns a request of a client."""
    headers = {
        "Host": "desk.example",
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        **(extra or {}),
    }
    if method != "GET" or body:
        headers["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def manifest(version, routes, services, limits=None):
    """Returns a manifest without tenants."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits
        or {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def route(name, prefix, kind, service, timeout_ms=3000, target_ms=386, **more):
    """Returns a route of a manifest."""
    return {
        "name": name,
        "host": "desk.example",
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1,
        "service": service,
        "max_attempts": 3,
        "allow_anonymous": False,
        "sticky_sessions": False,
        "resumable": False,
        **more,
    }


def plain_service(name):
    """Returns a plain service of a manifest."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 96,
        "protocol": "h1",
        "tls": False,
    }


def model_service(name):
    """Returns a service of model engines of a manifest."""
    return {
        **plain_service(name),
        "engine": {
            "slots": 16,
            "kv_capacity": 88000,
            "kv_token_bytes": 163840,
            "link_mbps": 260000.0,
            "moves": False,
            "backups": False,
            "stride": 9,
            "most": 12,
            "pin_ms": 4000.0,
            "hold_ms": 2000.0,
            "handle_s": 4.0,
            "models": [{"name": "m"}],
        },
    }


def run(case, folder, limit_s=115):
    """Runs a case: exits with 0 if the rule held, 1 if it was broken, 2 if it couldn't run."""
    disrupt = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.line(f"disruption: {disrupt}")

    async def main():
        with tempfile.TemporaryDirectory(dir=os.environ.get("TMPDIR")) as temporary:
            instances = []
            try:
                return await asyncio.wait_for(case(disrupt, record, temporary, instances), limit_s)
            finally:
                for instance in instances:
                    await instance.end()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for log in Path(temporary).glob("*.log"):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())

    try:
        code = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as failure:
        record.say(f"the case couldn't run: {failure!r}")
        code = 2
    record.say({0: "held", 1: "BROKEN", 2: "not run"}[code])
    sys.exit(code)
