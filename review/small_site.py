# SPDX-License-Identifier: MIT
"""A small deployment for the scripts of review cases: store, runners, routers, clients.

The routers are the project's own processes, started with the command of the deploy file
and its template.  Everything else is a stand-in in the script's process, written from
the users' pages with the standard library alone.  All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

from pathlib import Path
from urllib.parse import parse_qsl, urlsplit


ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
#: The figures of the sheet of the site that the cases name.
BOUNDS = {
    "RevokeMs": 5000,
    "GraceS": 8,
    "stall_ms": 3000,
    "DrainMs": 2000,
    "ConfigApplyMs": 2000,
    "RetryBudgetRatio": 0.2,
    "RetrySlack": 200,
}
ENGINE = {
    "Slots": 96,
    "KvTokenBytes": 1_836_000,
    "Models": [{"Name": "m", "pace": 1.0, "load_s": 14.0, "WarmS": 1.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.01428,
    "context_per_k": 0.01912,
    "read_per_s": 105_000.0,
    "pairs_per_m": 0.309,
    "chunk": 512,
    "delays": [],
    "usual": {"prompt": 774, "answer": 200},
    "layers": 80,
    "layer_mb": 1750.0,
    "act_bytes": 91_800,
    "pipe_mbps": 26_000.0,
    "kinds": [{"Name": "a100", "mb": 240_000.0, "pace": 2.4, "read_x": 3.2}],
}
LIMITS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": 4_194_304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15_000,
}


class Head:
    """The head of a request or an answer: its first line and its headers."""

    def __init__(self, text):
        self.first, *lines = text.split("\r\n")
        pairs = [one.partition(":") for one in lines if one]
        self.headers = {name.lower(): value.strip() for name, _, value in pairs}


async def read_head(reader):
    """Return the next head, or None where the connection ends before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(data[:-4].decode("latin-1"))


async def read_body(reader, head):
    """Return the body that a head announces."""
    if "chunked" in head.headers.get("transfer-encoding", ""):
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(head.headers.get("content-length", 0)))


def answer_bytes(status, body=b"", headers=()):
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.port = 0
        self._listening = None
        self._tasks = set()

    async def start(self):
        """Listen on a free port."""
        self._listening = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._listening.sockets[0].getsockname()[1]

    async def stop(self):
        """End everything."""
        self._listening.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                if not await self.handle(head, body, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def handle(self, head, body, writer):
        """Answer a request; tell whether the connection is kept."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows with versions from one counter, none ever lost."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row, as the operator and the runners do."""
        self._write(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, table, key):
        """Remove a row."""
        self._write(table, key, None)

    def _write(self, table, key, value):
        self.version += 1
        self.rows.setdefault(table, {})[key] = (value, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, table, key):
        value, version = self.rows.get(table, {}).get(key, (None, 0))
        row = {"table": table, "part": "", "Key": key, "ver": version}
        return row | ({"gone": True} if value is None else {"Value": value})

    def _told(self, status, rows, *, more=False):
        body = {"Rows": rows, "more": more, "ver": self.version}
        body["now_ms"] = int(time.monotonic() * 1000)
        data = json.dumps(body).encode()
        return answer_bytes(status, data, [("Content-Type", "application/json")])

    async def handle(self, head, body, writer):
        """Answer a read or a transaction."""
        _, target, _ = head.first.split(" ")
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        call = url.path.rpartition("/")[2]
        if call == "rows-get":
            data = self._get(query)
        elif call == "rows-feed":
            data = await self._feed(query)
        elif call == "rows-tx":
            data = self._transact(json.loads(body))
        else:
            data = answer_bytes(404)
        writer.write(data)
        await writer.drain()
        return True

    def _get(self, query):
        table, first = query["table"], query.get("From", "")
        limit = int(query.get("limit", 500))
        held = self.rows.get(table, {})
        keys = sorted(key for key in held if key >= first and held[key][0] is not None)
        rows = [self._row(table, key) for key in keys[:limit]]
        return self._told(200, rows, more=len(keys) > limit)

    async def _feed(self, query):
        table, after = query["table"], int(query["StartAfter"])
        until_s = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            changed = self._changed
            held = self.rows.get(table, {})
            keys = [key for key, (_, version) in held.items() if version > after]
            left_s = until_s - time.monotonic()
            if keys or left_s <= 0:
                keys.sort(key=lambda key: held[key][1])
                return self._told(200, [self._row(table, key) for key in keys])
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body):
        expected = body.get("ExpectedRevision", [])
        named = [self._row(row["table"], row["Key"]) for row in expected]
        if any(
            row["ver"] != now["ver"] for row, now in zip(expected, named, strict=True)
        ):
            return self._told(412, named)
        for row in body.get("put", []):
            self._write(row["table"], row["Key"], row["Value"])
        for row in body.get("Remove", []):
            self._write(row["table"], row["Key"], None)
        return self._told(200, [])


class Runner(Server):
    """A runner that holds all layers; what it runs is noted."""

    def __init__(self, name, record):
        super().__init__()
        self.name = name
        self.record = record

    def entry(self, service, zone="z1", **more):
        """Return its entry in the store."""
        return {
            "Service": service,
            "Address": f"{HOST}:{self.port}",
            "Zone": zone,
            "Version": "v1",
            "Slots": 96,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
        } | more

    async def handle(self, head, body, writer):
        """Answer the platform's own calls; hand all others on."""
        method, target, _ = head.first.split(" ")
        if method == "GET" and target == "/api/report":
            report = {
                "Stage": "both",
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": False,
                "Sequence": 1,
                "Waiting": 0,
                "Running": 0,
                "KvUsed": 0,
                "KvTotal": 4_000_000,
                "Handles": 0,
                "pace": 1.0,
                "layers": {"From": 0, "TargetVersion": 80, "Version": 1},
            }
            writer.write(answer_bytes(200, json.dumps(report).encode()))
            return True
        if method == "GET" and target == "/health":
            headers = [("Violethatch-Instance-Id", self.name)]
            writer.write(answer_bytes(200, headers=headers))
            return True
        if method == "POST" and target == "/api/order":
            writer.write(answer_bytes(409))
            return True
        if head.headers.get("violethatch-target-instance", self.name) != self.name:
            writer.write(answer_bytes(421))
            return True
        return await self.run(head, body, writer)

    async def run(self, head, body, writer):
        """Run a client's request; tell whether the connection is kept."""
        raise NotImplementedError


def _free_ports(count):
    """Return ports that nobody listens on."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((HOST, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


class Router:
    """One router process with the deployed command and template."""

    def __init__(self, name, folder, *, zone="z1", store_port, bounds=BOUNDS):
        self.name = name
        self.front, self.ready, metrics, peers = _free_ports(4)
        fields = {f"Bounds.{key}": value for key, value in bounds.items()} | {
            "Node": name,
            "Zone": zone,
            "Region": "r1",
            "Ip": HOST,
            "Listen.Front": f"{HOST}:{self.front}",
            "Listen.Ready": f"{HOST}:{self.ready}",
            "InternalPorts.0": metrics,
            "InternalPorts.1": peers,
            "Platform.Address": f"{HOST}:{store_port}",
            "Limits.MemoryMb": 300,
            "Limits.MaxFds": 4100,
            "Limits.LinkMbps": 1000.0,
            "Limits.CpuShare": 0.537,
        }
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._command = role["router"]["run"].split(" ")
        template = (ROOT / role["router"]["template"]).read_text()

        def value(gap):
            return str(fields.get(gap[1], ""))

        self._settings = Path(folder) / f"{name}.ini"
        self._settings.write_text(re.sub(r"\{\{([\w.]+)\}\}", value, template))
        self._log = Path(folder) / f"{name}.log"
        self.process = None

    async def start(self):
        """Start the process and wait until it says that it is ready."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        } | {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "VIOLETHATCH_BOOT": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        async with asyncio.timeout(30):
            is_ready = False
            while not is_ready:
                await asyncio.sleep(0.1)
                is_ready = await self.is_ready()

    async def is_ready(self):
        """Ask as the platform's balancer does."""
        try:
            answer = await call(
                self.ready, b"GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n"
            )
        except OSError:
            return False
        return answer.status == 200

    def signal(self, number):
        """Send the process a signal, if it is there."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        """End the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Answer:
    """What a client has seen on its connection.

    Attributes:
        status: The answer's status, or 0 without a head.
        is_framed: Whether it has a length or comes in chunks.
        body: Its body as far as it came.
        is_whole: Whether it is whole by the protocol: its length or its last chunk has
            come, or without both the connection has ended without a reset.
        end: How the connection ended.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.is_framed = False
        self.body = b""
        self.is_whole = False
        self.end = ""


async def call(port, data, *, on_body=None):
    """Send one request on a connection of its own; return what comes back."""
    reader, writer = await asyncio.open_connection(HOST, port)
    answer = Answer()
    try:
        writer.write(data)
        await writer.drain()
        await _read_answer(reader, answer, on_body)
    except ConnectionResetError:
        answer.end = "reset"
    except asyncio.IncompleteReadError:
        answer.end = "closed before the end that its framing tells"
    finally:
        writer.transport.abort()
    return answer


async def _read_answer(reader, answer, on_body):
    head = await read_head(reader)
    if head is None:
        answer.end = "no answer"
        return
    answer.status = int(head.first.split(" ")[1])
    answer.headers = head.headers
    chunked = "chunked" in head.headers.get("transfer-encoding", "")
    length = head.headers.get("content-length")
    answer.is_framed = chunked or length is not None
    if chunked:
        while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if on_body:
                on_body(answer)
        await reader.readuntil(b"\n")
    elif length is not None:
        answer.body = await reader.readexactly(int(length))
    else:
        while data := await reader.read(65_536):
            answer.body += data
            if on_body:
                on_body(answer)
    answer.is_whole = True
    answer.end = "whole" if answer.is_framed else "closed, without a reset"


def request(call_id, method, path, *, host="a.example", key=None, body=b"", more=()):
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Violethatch-Attempt-Id: {call_id}",
        f"Content-Length: {len(body)}",
        *([f"Authorization: Token {key}"] if key else []),
        *more,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def main(case, folder):
    """Run a case within its time; exit with what came of it.

    Args:
        case: Takes a temporary folder, a record and whether there is trouble; returns
            whether the rule held.
        folder: The case's folder, for the record.
    """
    record = []

    def note(text):
        record.append(f"{time.monotonic() - began_s:8.3f} {text}")

    began_s = time.monotonic()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    status = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:

            async def limited():
                async with asyncio.timeout(100):
                    return await case(temporary, note, has_trouble)

            status = 0 if asyncio.run(limited()) else 1
        except Exception as error:
            note(f"could not run: {error!r}")
    note(f"exit {status}, trouble {'on' if has_trouble else 'off'}")
    (Path(folder) / "record.txt").write_text("\n".join(record) + "\n")
    print(record[-1])
    sys.exit(status)
