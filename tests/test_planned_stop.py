# SPDX-License-Identifier: MIT
"""A planned stop in calm: calls on connections that were open before it.

One router process with the deployed settings.  Calls that may run once, repeatable ones
and streams go on until the process is gone, some with bodies that come slowly, while
its settings are read again and the desired state changes.
"""

from __future__ import annotations

import asyncio
import signal

from collections import Counter
from typing import NamedTuple

import pytest

from raw_server import ID as CALL_ID
from raw_server import header
from raw_site import FINAL_STREAM, ONCE, ROUTES, SAFE, RawSite
from router_fakes import events as stream_events
from test_platform_process import HEADERS, ID
from violethatch import clocks


GRACE_S = 8.0
#: The rule's slack for requests that cross the close.
LOSS_SLACK_S = 0.2
#: Requests that were sent later have no excuse in a runner that is still at work.
LATE_S = 3.0
CALLS_PER_S = 25
CALM_S = 1.5
PATHS = (ONCE, SAFE, FINAL_STREAM)


class Outcome(NamedTuple):
    """What became of a call.

    Attributes:
        path: Its path.
        sent_s: When its last byte was sent, after SIGTERM, in seconds.
        took_s: How long it took from then.
        status: The answer's status; 0 without a whole answer.
    """

    path: str
    sent_s: float
    took_s: float
    status: int


class SlowRunner:
    """Runs each call for a while; a stream's events are spread over that.

    Args:
        run_s: For how long, in seconds.
    """

    def __init__(self, run_s):
        self.run_s = run_s
        self.ran = set()
        self._server = None

    async def start(self):
        """Start to listen; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self):
        """Listen no more."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(header(head, b"content-length") or 0)
                await reader.readexactly(length)
                await self._answer(head, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _answer(self, head, writer):
        """Answer a call, or a request for a report."""
        call_id = header(head, CALL_ID)
        lines = b"HTTP/1.1 200 OK\r\nViolethatch-Attempt-Id: %b\r\n" % call_id
        if not call_id:
            body = b'{"Sequence":1}'
            writer.write(lines + b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        self.ran.add(call_id.decode())
        lines += b"Violethatch-Response-Signature: s\r\n"
        if b" /final/" not in head:
            await asyncio.sleep(self.run_s)
            writer.write(lines + b"Content-Length: 5\r\n\r\nwhole")
            return
        writer.write(lines + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, 9):
            event = stream_events(number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(self.run_s / 8)
        writer.write(b"0\r\n\r\n")


class Play:
    """A stop among calls."""

    def __init__(self, site, runner):
        self.site = site
        self.runner = runner
        self.stopped_s = float("inf")
        self.outcomes = {}
        self._idle = []

    async def call(self, number, reader, writer):
        """Send a call on an open connection; note what becomes of it."""
        path = PATHS[number % len(PATHS)]
        call_id = f"c{number}"
        headers = HEADERS | {ID: call_id, "Violethatch-Deadline-Ms": "15000"}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([f"POST {path} HTTP/1.1", *lines, "Content-Length: 6"])
        status = 0
        sent_s = clocks.now_s()
        try:
            if number % 5:
                writer.write(f"{head}\r\n\r\na menu".encode())
            else:
                writer.write(f"{head}\r\n\r\na ".encode())
                await asyncio.sleep(0.4)
                writer.write(b"menu")
            sent_s = clocks.now_s()
            status, is_kept = await _read_answer(reader)
            if is_kept:
                self._idle.append((reader, writer))
            else:
                writer.close()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
        took_s = clocks.now_s() - sent_s
        self.outcomes[call_id] = Outcome(path, sent_s - self.stopped_s, took_s, status)

    def _kept_connection(self):
        """Return an open connection that rests, or None if there is none left."""
        while self._idle:
            reader, writer = self._idle.pop(0)
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        return None

    async def run(self, *, changes):
        """Send calls until the process is gone."""
        for _ in range(CALLS_PER_S * 8):
            self._idle.append(
                await asyncio.open_connection("127.0.0.1", self.site.front)
            )
        began_s = clocks.now_s()
        calls = []
        number = 0
        stop_s = began_s + CALM_S
        is_asked = False
        while self.site.process.returncode is None:
            now_s = clocks.now_s()
            if now_s >= stop_s and not is_asked:
                is_asked = True
                if changes:
                    self.site.process.send_signal(signal.SIGHUP)
                self.stopped_s = now_s
                self.site.process.send_signal(signal.SIGTERM)
            if changes and is_asked and number % 25 == 0:
                self.site.process.send_signal(signal.SIGHUP)
                self.site.configure(version=2 + number, routes=ROUTES)
            kept = self._kept_connection()
            if kept is not None:
                calls.append(asyncio.create_task(self.call(number, *kept)))
                number += 1
            await asyncio.sleep(1 / CALLS_PER_S)
            if now_s > stop_s + GRACE_S + 1.0:
                break
        await asyncio.gather(*calls)
        return await self.site.process.wait()


async def _read_answer(reader):
    """Return an answer's status, and whether its connection is kept."""
    head = await reader.readuntil(b"\r\n\r\n")
    if b"chunked" in head.lower():
        await reader.readuntil(b"0\r\n\r\n")
    else:
        await reader.readexactly(int(header(head, b"content-length")))
    return int(head.split(b" ")[1]), b"close" not in header(head, b"connection").lower()


@pytest.mark.parametrize("changes", [False, True])
@pytest.mark.parametrize("run_s", [0.3, 1.5, 4.0, 6.0])
async def test_late_call_ends_without_an_answer(tmp_path, run_s, changes):
    """Also none that was refused has run."""
    site = RawSite(tmp_path)
    runner = SlowRunner(run_s)
    try:
        await site.start(**{"Bounds.GraceS": f"{GRACE_S:g}"})
        address = await runner.start()
        await site.list_servers(FINAL_STREAM, [address])
        await site.list_servers(ONCE, [address])
        play = Play(site, runner)
        await play.run(changes=changes)
    finally:
        await runner.stop()
        await site.stop()
    print(Counter((one.path, one.status) for one in play.outcomes.values()))
    lost = {
        call_id: one
        for call_id, one in play.outcomes.items()
        if not one.status and (call_id in runner.ran or one.took_s > LOSS_SLACK_S)
    }
    excused = {
        call_id
        for call_id, one in lost.items()
        if one.sent_s <= LATE_S and one.sent_s + run_s > GRACE_S * 5 / 6
    }
    assert {key: one for key, one in lost.items() if key not in excused} == {}
    refused = {
        call_id
        for call_id, one in play.outcomes.items()
        if one.status in (408, 421, 429, 503)
    }
    assert refused & runner.ran == set()
    assert any(one.status == 200 for one in play.outcomes.values())
