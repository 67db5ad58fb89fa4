# SPDX-License-Identifier: MIT
"""A small deployment for the review's scripts: store, runners, routers, a record.

The store and the runners follow the users' pages and run in the script's own process;
each router is a process of its own, started with the deploy file's command.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shlex
import signal
import socket
import tempfile
import time
import tomllib

from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

from wire import HOST, Answer, Connection, HttpServer, Request, ask


ROOT = Path(__file__).resolve().parent.parent.parent
ID = "Violethatch-Attempt-Id"
NOT_RUN = "Violethatch-Not-Executed"
PROOF = "Violethatch-Response-Signature"
TARGET = "Violethatch-Target-Instance"
#: The bounds of the users' installations, as their pages state them.
BOUNDS = {
    "RevokeMs": 5000,
    "GraceS": 8,
    "stall_ms": 3000,
    "DrainMs": 2000,
    "ConfigApplyMs": 2000,
    "RetryBudgetRatio": 0.2,
    "RetrySlack": 200,
}
LIMITS = {"MemoryMb": 300, "MaxFds": 4100, "LinkMbps": 1000.0}
BEAT_S = 1.2
#: After how many beats of silence a runner's entry goes.
_SILENT_BEATS = 3
_FEED_LOOK_S = 0.01
_PAGE_ROWS = 500
_READY_S = 20.0

#: Two kinds of cards and a model of 80 layers, with the pages' figures.
ENGINE = {
    "Slots": 96,
    "KvCapacityTokens": 50000,
    "KvTokenBytes": 1836000,
    "LinkMbps": 400000.0,
    "stride": 3,
    "Models": [{"Name": "m", "pace": 1.0, "load_s": 14.0, "WarmS": 1.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.01428,
    "context_per_k": 0.01912,
    "read_per_s": 105000.0,
    "pairs_per_m": 0.309,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "loads_at_once": 5,
    "delays": [],
    "usual": {"prompt": 774, "answer": 200},
    "layers": 80,
    "layer_mb": 1750.0,
    "act_bytes": 91800,
    "pipe_mbps": 26000.0,
    "kinds": [
        {"Name": "a100", "mb": 72000.0, "pace": 2.4, "read_x": 3.2},
        {"Name": "l4", "mb": 21600.0, "pace": 16.0, "read_x": 8.2},
    ],
}


class Store:
    """The platform's store: rows, conditional writes and a feed of changes."""

    def __init__(self) -> None:
        self.server = HttpServer(self._handle)
        self.rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
        self.version = 0

    def put(self, table: str, key: str, value: Mapping[str, Any]) -> None:
        """Write a row, as the operator and the runners do."""
        self._write((table, "", key), json.dumps(value).encode())

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        if self.rows.get((table, "", key), (None, 0))[0] is not None:
            self._write((table, "", key), None)

    def _write(self, place: tuple[str, str, str], value: bytes | None) -> None:
        """Give a row its next version."""
        self.version += 1
        self.rows[place] = (value, self.version)

    async def _handle(self, request: Request, connection: Connection) -> None:
        """Answer one call."""
        call = request.path.rpartition("/")[2]
        if call == "rows-get":
            await self._get(request, connection)
        elif call == "rows-feed":
            await self._feed(request, connection)
        elif call == "rows-tx":
            await self._transact(request, connection)
        else:
            await connection.answer(404)

    async def _get(self, request: Request, connection: Connection) -> None:
        """Answer a table's rows in the order of their keys."""
        query = request.query
        table, part = query["table"], query.get("part", "")
        first, end = query.get("From", ""), query.get("TargetVersion")
        limit = min(_PAGE_ROWS, int(query.get("limit", _PAGE_ROWS)))
        places = sorted(
            place
            for place, (value, _) in self.rows.items()
            if place[:2] == (table, part)
            and value is not None
            and place[2] >= first
            and (end is None or place[2] < end)
        )
        rows = [self._row(place) for place in places[:limit]]
        await self._answer(connection, rows, more=len(places) > limit)

    async def _feed(self, request: Request, connection: Connection) -> None:
        """Answer the rows changed since a version, as soon as there are any."""
        query = request.query
        after = int(query["StartAfter"])
        until_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            changed = [
                place
                for place, (_, version) in self.rows.items()
                if place[0] == query["table"] and version > after
            ]
            if changed or time.monotonic() >= until_s:
                break
            await asyncio.sleep(_FEED_LOOK_S)
        changed.sort(key=lambda place: self.rows[place][1])
        await self._answer(connection, [self._row(place) for place in changed])

    async def _transact(self, request: Request, connection: Connection) -> None:
        """Write all rows or none."""
        body = json.loads(request.body)
        for row in body["ExpectedRevision"]:
            value, version = self.rows.get(_place(row), (None, 0))
            if row["ver"] != (version if value is not None else 0):
                expected = [self._row(_place(one)) for one in body["ExpectedRevision"]]
                await self._answer(connection, expected, status=412)
                return
        for row in body["put"]:
            self._write(_place(row), base64.b64decode(row["Value"]))
        for row in body["Remove"]:
            if _place(row) in self.rows:
                self._write(_place(row), None)
        await self._answer(connection, [])

    def _row(self, place: tuple[str, str, str]) -> dict[str, Any]:
        """Return a row as it is told."""
        value, version = self.rows.get(place, (None, 0))
        table, part, key = place
        row = {"table": table, "part": part, "Key": key, "ver": version}
        if value is None:
            return {**row, "gone": True}
        return {**row, "Value": base64.b64encode(value).decode()}

    async def _answer(
        self,
        connection: Connection,
        rows: list[dict[str, Any]],
        *,
        more: bool = False,
        status: int = 200,
    ) -> None:
        """Answer with rows, the newest version and a steady clock."""
        now_ms = int(time.monotonic() * 1000)
        body = {"Rows": rows, "more": more, "ver": self.version, "now_ms": now_ms}
        headers = {"Content-Type": "application/json"}
        await connection.answer(status, headers, json.dumps(body).encode())


def _place(row: Mapping[str, Any]) -> tuple[str, str, str]:
    """Return the place of a row."""
    return row["table"], row.get("part", ""), row["Key"]


class Runner:
    """A runner: keeps its entry, and runs requests that are for it.

    Args:
        site: Where it belongs.
        id: Its id, a new one for each lifetime.
        service: Its service.
        work_s: How long a request takes, in seconds.
        zone: Its zone.
        fields: What else its entry tells.
    """

    def __init__(
        self,
        site: Site,
        id: str,  # noqa: A002
        service: str,
        *,
        work_s: float = 0.05,
        zone: str = "z1",
        fields: Mapping[str, Any] | None = None,
    ) -> None:
        self.site = site
        self.id = id
        self.service = service
        self.work_s = work_s
        self.zone = zone
        self.fields = dict(fields or {})
        self.state = "ready"
        self.sequence = 0
        self.server = HttpServer(self._handle)
        self._beating: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listen, and keep the entry from now on."""
        await self.server.start(port)
        self._beating = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """End without a word; the entry goes after three beats of silence."""
        if self._beating is not None:
            self._beating.cancel()
        await self.server.stop()
        self.site.drop_later(self, _SILENT_BEATS * BEAT_S)

    async def stop(self) -> None:
        """End at the end of the script."""
        if self._beating is not None:
            self._beating.cancel()
        await self.server.stop()

    def entry(self) -> dict[str, Any]:
        """Return the entry as it stands in the store."""
        return {
            "Service": self.service,
            "Address": self.server.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 6,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            **self.fields,
        }

    def tell(self) -> None:
        """Write the entry."""
        self.site.store.put("servers", self.id, self.entry())

    async def _beat(self) -> None:
        """Write the entry from time to time."""
        while True:
            self.tell()
            await asyncio.sleep(BEAT_S)

    async def _handle(self, request: Request, connection: Connection) -> None:
        """Answer one request."""
        if request.path == "/health":
            await connection.answer(200, {"Violethatch-Instance-Id": self.id})
            return
        call_id = request.headers.get(ID.lower(), "")
        if request.headers.get(TARGET.lower(), self.id) != self.id:
            await connection.answer(421, {"Violethatch-Instance-Id": self.id})
            return
        self.site.note("run", runner=self.id, id=call_id, target=request.target)
        await self.run(request, connection, call_id)

    async def run(self, request: Request, connection: Connection, call_id: str) -> None:
        """Run a request, and answer it."""
        await asyncio.sleep(self.work_s)
        self.site.note("ran", runner=self.id, id=call_id)
        body = f"{self.id} ran {call_id}".encode()
        await connection.answer(200, {ID: call_id, PROOF: f"by-{self.id}"}, body)


async def give_events(
    runner: Runner,
    request: Request,
    connection: Connection,
    call_id: str,
    *,
    count: int,
    pause_s: float,
) -> None:
    """Give the events of a stream after the one that `Last-Event-Id` names."""
    after = int(request.headers.get("last-event-id", 0))
    kind = {"Content-Type": "text/event-stream"}
    await connection.begin(200, {ID: call_id, PROOF: f"by-{runner.id}", **kind})
    for number in range(after + 1, count + 1):
        await asyncio.sleep(pause_s)
        await connection.chunk(b"id: %d\ndata: %d\n\n" % (number, number))
    await connection.chunk(b"")
    runner.site.note("ran", runner=runner.id, id=call_id, after=after)


class EngineRunner(Runner):
    """A model runner: reports, takes orders, and gives events.

    Args:
        site: Where it belongs.
        id: Its id.
        service: Its service.
        kind: The kind of its card.
        layers: The layers that it holds, if any.
        layer_mb: What a layer of its model takes.
        card_mb: What its card holds.
        load_s: How long it loads.
        events: How many events a stream has.
        pause_s: The time between them.
        work: Further options of a runner.
    """

    def __init__(
        self,
        site: Site,
        id: str,  # noqa: A002
        service: str,
        *,
        kind: str = "a100",
        layers: tuple[int, int] | None = None,
        layer_mb: float = 1750.0,
        card_mb: float = 72000.0,
        load_s: float = 0.3,
        events: int = 20,
        pause_s: float = 0.05,
        **work: Any,
    ) -> None:
        super().__init__(site, id, service, **work)
        self.kind = kind
        self.layers = layers
        self.layer_mb = layer_mb
        self.card_mb = card_mb
        self.load_s = load_s
        self.events = events
        self.pause_s = pause_s
        self.fence = 0
        self.orders = 0
        self.loading: asyncio.Task[None] | None = None

    def _held(self) -> dict[str, int] | None:
        """Return the layers that are held, as they are told."""
        if self.layers is None:
            return None
        first, end = self.layers
        return {"From": first, "TargetVersion": end, "Version": 1}

    def entry(self) -> dict[str, Any]:
        """Return the entry as it stands in the store."""
        return {
            **super().entry(),
            "Slots": 96,
            "Stage": "both",
            "Models": [{"Name": self.service, "Version": 1, "Adapters": []}],
            "Kind": self.kind,
            "layers": self._held(),
            "Sequence": self.orders,
        }

    async def _handle(self, request: Request, connection: Connection) -> None:
        """Answer one request."""
        if request.path == "/api/report":
            await self._report(connection)
        elif request.path == "/api/order":
            await self._order(request, connection)
        else:
            await super()._handle(request, connection)

    async def _report(self, connection: Connection) -> None:
        """Tell the runner's state."""
        report = {
            "Stage": "both",
            "Models": [{"Name": self.service, "Version": 1, "Adapters": []}],
            "Kind": self.kind,
            "layers": self._held(),
            "Busy": self.loading is not None and not self.loading.done(),
            "Sequence": self.orders,
            "Waiting": 0,
            "Running": 0,
            "KvUsed": 0,
            "KvTotal": 90000,
            "Handles": 0,
            "pace": 1.0,
            "stalled": [],
        }
        await connection.answer(200, {}, json.dumps(report).encode())

    async def _order(self, request: Request, connection: Connection) -> None:
        """Take an order, unless it is another runner's."""
        if request.headers.get(TARGET.lower(), self.id) != self.id:
            await connection.answer(421, {"Violethatch-Instance-Id": self.id})
            return
        order = json.loads(request.body)
        self.site.note(
            "order",
            runner=self.id,
            service=self.service,
            order=order,
            named=request.headers.get(TARGET.lower()),
        )
        if order["op"] != "place":
            await connection.answer(404)
            return
        if order.get("fence", self.fence) < self.fence:
            await connection.answer(412)
            return
        self.fence = order.get("fence", self.fence)
        is_busy = self.loading is not None and not self.loading.done()
        if order.get("ExpectedRevision", self.orders) != self.orders or is_busy:
            await connection.answer(409)
            return
        self.orders += 1
        first, end = order["From"], order["TargetVersion"]
        needed_mb = (end - first) * self.layer_mb
        if needed_mb > self.card_mb:
            self.site.note(
                "over", runner=self.id, layers=end - first, needed_mb=needed_mb
            )
            # A runner ordered beyond its memory falls, once it has taken the order.
            loop = asyncio.get_running_loop()
            self._falling = loop.call_later(0.05, self._fall)
        self.loading = asyncio.create_task(self._load((first, end)))
        await connection.answer(202)

    def _fall(self) -> None:
        """End, as a runner does that is ordered to hold too much."""
        self.site.note("fell", runner=self.id)
        self._ending = asyncio.ensure_future(self.crash())

    async def _load(self, layers: tuple[int, int]) -> None:
        """Hold layers after a while."""
        await asyncio.sleep(self.load_s)
        self.layers = layers
        self.tell()

    async def run(self, request: Request, connection: Connection, call_id: str) -> None:
        """Give a stream's events."""
        await give_events(
            self,
            request,
            connection,
            call_id,
            count=self.events,
            pause_s=self.pause_s,
        )


class Router:
    """One router process."""

    def __init__(self, name: str, settings: Path, ports: tuple[int, ...]) -> None:
        self.name = name
        self.settings = settings
        self.front, self.ready, self.metrics, self.peers = ports
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, folder: Path) -> None:
        """Start the process with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(deploy["roles"]["router"]["run"]),
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": str(folder),
                    "TMPDIR": str(folder),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "VIOLETHATCH_BOOT": str(self.settings),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it is there."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Tell whether it says that it is ready."""
        url = "/api/readiness"
        answer = await ask(self.ready, "GET", url, {"Host": "x"}, limit_s=1.0)
        return answer.status == 200

    async def wait_ready(self) -> None:
        """Wait until it is ready.

        Raises:
            TimeoutError: It is not in time.
        """
        async with asyncio.timeout(_READY_S):
            while not await self.is_ready():  # noqa: ASYNC110
                await asyncio.sleep(0.05)


class Site:
    """A deployment with a store, runners and routers, and a record of what happens."""

    def __init__(self, record: Path) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.store = Store()
        self.runners: list[Runner] = []
        self.routers: list[Router] = []
        self.notes: list[dict[str, Any]] = []
        self._began_s = time.monotonic()
        self._record = record.open("w")
        self._timers: list[asyncio.TimerHandle] = []

    def note(self, what: str, **fields: Any) -> None:
        """Write a line of the record."""
        at_s = round(time.monotonic() - self._began_s, 3)
        line = {"at_s": at_s, "what": what, **fields}
        self.notes.append(line)
        self._record.write(json.dumps(line) + "\n")
        self._record.flush()

    def noted(self, what: str) -> list[dict[str, Any]]:
        """Return the record's lines of one sort."""
        return [line for line in self.notes if line["what"] == what]

    async def start(self) -> None:
        """Start the store."""
        await self.store.server.start()

    async def add_runner(self, runner: Runner, port: int = 0) -> Runner:
        """Start a runner."""
        self.runners.append(runner)
        await runner.start(port)
        return runner

    def drop_later(self, runner: Runner, after_s: float) -> None:
        """Have a silent runner's entry go after a while."""
        loop = asyncio.get_running_loop()
        drop = lambda: self.store.drop("servers", runner.id)  # noqa: E731
        self._timers.append(loop.call_later(after_s, drop))

    def configure(self, state: Mapping[str, Any]) -> None:
        """Put a desired state; the store's answer is its acknowledgement."""
        self.store.put("op", "config", state)
        self.note("state", version=state["Version"], tenants=state.get("Tenants"))

    async def add_router(self, name: str, *, zone: str = "z1") -> Router:
        """Start a router with the deployed template; wait until it is ready."""
        ports = _free_ports(4)
        settings = self.folder / f"{name}.ini"
        fields = {
            "Node": name,
            "Zone": zone,
            "Region": "r1",
            "Ip": HOST,
            "Listen.Front": f"{HOST}:{ports[0]}",
            "Listen.Ready": f"{HOST}:{ports[1]}",
            "InternalPorts.0": ports[2],
            "InternalPorts.1": ports[3],
            "Platform.Address": self.store.server.address,
            **{f"Bounds.{key}": value for key, value in BOUNDS.items()},
            **{f"Limits.{key}": value for key, value in LIMITS.items()},
        }
        template = (ROOT / "deploy/router.ini").read_text()
        gap = re.compile(r"\{\{([^}]*)\}\}")
        settings.write_text(gap.sub(lambda one: str(fields[one[1]]), template))
        router = Router(name, settings, ports)
        self.routers.append(router)
        await router.start(self.folder)
        await router.wait_ready()
        return router

    async def call(
        self,
        router: Router,
        call_id: str,
        target: str,
        *,
        key: str | None = "k1",
        method: str = "POST",
        body: bytes = b"a request",
        limit_s: float = 8.0,
        headers: Mapping[str, str] | None = None,
        on_part: Callable[[bytes], None] = lambda _part: None,
    ) -> Answer:
        """Send a client's request to a router; return what came of it."""
        sent = {
            "Host": "menu.example",
            ID: call_id,
            "Violethatch-Deadline-Ms": str(int(limit_s * 1000)),
            **({"Authorization": f"Token {key}"} if key is not None else {}),
            **(headers or {}),
        }
        self.note("sent", id=call_id, router=router.name, target=target, key=key)
        answer = await ask(
            router.front,
            method,
            target,
            sent,
            body,
            limit_s=limit_s,
            on_part=on_part,
        )
        self.note(
            "answered",
            id=call_id,
            status=answer.status,
            is_whole=answer.is_whole,
            proof=answer.headers.get(PROOF.lower()),
        )
        return answer

    async def stop(self) -> None:
        """End all that was started."""
        for timer in self._timers:
            timer.cancel()
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
            if router.process is not None:
                await router.process.wait()
        for runner in self.runners:
            await runner.stop()
        await self.store.server.stop()
        self._record.close()
        self._folder.cleanup()


def _free_ports(count: int) -> tuple[int, ...]:
    """Return free ports, for TCP and UDP, all different.

    They lie below the range from which the system takes those of clients.
    """
    ports: list[int] = []
    number = random.randrange(12_000, 31_000)
    while len(ports) < count:
        number = number + 1 if number < 31_000 else 12_000
        with contextlib.ExitStack() as open_sockets:
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    made = socket.socket(socket.AF_INET, kind)
                    open_sockets.enter_context(made)
                    made.bind((HOST, number))
            except OSError:
                continue
            if number not in _TAKEN:
                _TAKEN.add(number)
                ports.append(number)
    return tuple(ports)


_TAKEN: set[int] = set()


async def in_time(work: Awaitable[int], record: Path, limit_s: float = 100.0) -> int:
    """Return a case's result; 2 if it could not run."""
    try:
        async with asyncio.timeout(limit_s):
            return await work
    except Exception as error:
        with record.open("a") as lines:
            lines.write(f"could not run: {error!r}\n")
        print(f"could not run: {error!r}")
        return 2
