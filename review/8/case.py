# SPDX-License-Identifier: MIT
"""Streams whose connections are reset on their way; a few of them lack a length."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import sys

from pathlib import Path


FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import small_site as site  # noqa: E402


#: Streams that are under way together.
STREAMS = 120
#: One answer in so many lacks a length.
UNFRAMED_EACH = 40
EVENTS = [f"id: {number}\ndata: {'x' * 60}\n\n".encode() for number in range(1, 78)]
BODY = b"".join(EVENTS)
PAUSE_S = (0.01, 0.03)
#: When the resets begin, after the streams were begun, and over which time they come.
RESET_S = 0.4
RESETS_TAKE_S = 1.0
#: How often that happens, and the rest after each time.
ROUNDS = 10
REST_S = 3.0
#: The part of one machine's connections that is reset.
RESET_PART = 0.5
CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "policy",
            "Host": "a.example",
            "PathPrefix": "/policy/",
            "Kind": "streaming",
            "TimeoutMs": 20000,
            "TargetLatencyMs": 500,
            "Priority": 1,
            "Service": "llm",
            "MaxAttempts": 2,
            "AuthExempt": True,
            "StreamResume": True,
            "gap_aim_ms": 200,
        }
    ],
    "Services": [
        {"Name": "llm", "MaxConnections": 978, "Engine": site.ENGINE},
    ],
    "Limits": site.LIMITS,
}


class Runner(site.Runner):
    """Answers some streams without a length: these end with their connection."""

    async def run(self, head, body, writer):
        """Run a request to its end, and close the connection."""
        call_id = head.headers["violethatch-attempt-id"]
        is_framed = int(call_id.rpartition("-")[2]) % UNFRAMED_EACH != 0
        framing = "Transfer-Encoding: chunked" if is_framed else "Connection: close"
        done = int(head.headers.get("last-event-id", 0))
        self.record(f"{self.name} runs {call_id} after event {done}")
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Violethatch-Attempt-Id: {call_id}\r\n"
                f"Violethatch-Response-Signature: proof-{call_id}\r\n"
                f"{framing}\r\n\r\n"
            ).encode()
        )
        for event in EVENTS[done:]:
            writer.write(_chunk(event) if is_framed else event)
            await writer.drain()
            await asyncio.sleep(random.uniform(*PAUSE_S))
        if is_framed:
            writer.write(_chunk(b""))
        return is_framed


def _chunk(data):
    """Return a chunk of an answer; an empty one is the last."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Link:
    """The connections of one machine to a runner, some of which are reset at once."""

    def __init__(self, port):
        self._target = port
        self._listening = None
        self.port = 0
        #: The ends at the machine's side, in the order in which they were opened.
        self.open = []
        #: Those that are reset behind the next bytes that come from the runner.
        self.lost = set()

    async def start(self):
        """Listen on a free port."""
        self._listening = await asyncio.start_server(self._carry, site.HOST, 0)
        self.port = self._listening.sockets[0].getsockname()[1]

    def stop(self):
        """End everything."""
        self._listening.close()
        for writer in self.open:
            writer.transport.abort()

    async def _carry(self, reader, writer):
        server_reader, server_writer = await asyncio.open_connection(
            site.HOST, self._target
        )
        self.open.append(writer)
        back = asyncio.create_task(_copy(server_reader, writer, self.lost))
        try:
            await _copy(reader, server_writer)
            await back
        finally:
            back.cancel()
            self.open.remove(writer)
            self.lost.discard(writer)
            server_writer.transport.abort()
            writer.close()


async def _copy(reader, writer, lost=()):
    """Pass bytes on until their end, or until the connection is lost."""
    try:
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
            if writer in lost:
                reset(writer)
                return
        writer.write_eof()
    except OSError:
        writer.transport.abort()


def reset(writer):
    """Reset a connection, as `SO_LINGER` with no time does."""
    connection = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def case(folder, note, has_trouble):
    """Return whether no answer that was cut short looked complete."""
    store = site.Store()
    await store.start()
    runners = [Runner(f"i-{number}", note) for number in (1, 2, 3)]
    links = []
    router = None
    try:
        store.put("op", "config", CONFIG)
        for one in runners:
            await one.start()
            link = Link(one.port)
            links.append(link)
            await link.start()
            layers = {"From": 0, "TargetVersion": 80, "Version": 1}
            entry = one.entry("llm", Kind="a100", layers=layers)
            entry["Address"] = f"{site.HOST}:{link.port}"
            store.put("servers", one.name, entry)
        router = site.Router("edge-0", folder, store_port=store.port)
        await router.start()
        await asyncio.sleep(1.0)

        async def stream(name):
            call_id = f"stream-{name}"
            more = ["Violethatch-Deadline-Ms: 20000"]
            data = site.request(call_id, "POST", "/policy/1", body=b"a", more=more)
            answer = await site.call(router.front, data)
            is_short = answer.body != BODY
            is_broken = answer.status == 200 and answer.is_whole and is_short
            if is_short:
                note(
                    f"client has {len(answer.body)} of {len(BODY)} bytes of {call_id}: "
                    f"status {answer.status}, length or chunks: {answer.is_framed}, "
                    f"connection: {answer.end}; looks complete: {answer.is_whole}"
                    f"{'; BROKEN' if is_broken else ''}"
                )
            return not is_broken

        is_kept = True
        for round_number in range(ROUNDS):
            note(f"round {round_number}: clients begin {STREAMS} streams")
            streams = [
                asyncio.create_task(stream(f"{round_number}-{number}"))
                for number in range(STREAMS)
            ]
            await asyncio.sleep(RESET_S)
            if has_trouble:
                chosen = [
                    (link, writer)
                    for link in links
                    for writer in link.open[:: round(1 / RESET_PART)]
                ]
                note(f"{len(chosen)} connections are reset")
                for link, writer in chosen:
                    link.lost.add(writer)
                    await asyncio.sleep(RESETS_TAKE_S / len(chosen))
            is_kept &= all(await asyncio.gather(*streams))
            await asyncio.sleep(REST_S)
        return is_kept
    finally:
        if router is not None:
            await router.stop()
        for one in links:
            one.stop()
        for one in (*runners, store):
            await one.stop()


if __name__ == "__main__":
    site.main(case, FOLDER)
