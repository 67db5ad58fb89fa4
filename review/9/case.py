# SPDX-License-Identifier: MIT
"""Streams of which a few lack a length, through a process that is killed."""

from __future__ import annotations

import asyncio
import signal
import sys

from pathlib import Path


FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import small_site as site  # noqa: E402


STREAMS = 80
#: One answer in so many lacks a length.
UNFRAMED_EACH = 40
EVENTS = 57
PAUSE_S = 0.05
CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "check",
            "Host": "a.example",
            "PathPrefix": "/check/",
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
        """Run a stream to its end, whole."""
        call_id = head.headers["violethatch-attempt-id"]
        is_framed = int(call_id.rpartition("-")[2]) % UNFRAMED_EACH != 0
        if not is_framed:
            self.record(f"{self.name} runs {call_id}, without a length")
        framing = "Transfer-Encoding: chunked" if is_framed else "Connection: close"
        first = int(head.headers.get("last-event-id", 0)) + 1
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Violethatch-Attempt-Id: {call_id}\r\n"
                f"Violethatch-Response-Signature: proof-{call_id}\r\n"
                f"{framing}\r\n\r\n"
            ).encode()
        )
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {'x' * 60}\n\n".encode()
            writer.write(_chunk(event) if is_framed else event)
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        if is_framed:
            writer.write(_chunk(b""))
        else:
            self.record(f"{self.name} has sent {call_id} whole")
        return is_framed


def _chunk(data):
    """Return a chunk of an answer; an empty one is the last."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def case(folder, note, has_trouble):
    """Return whether no answer that was cut short looked complete."""
    store = site.Store()
    await store.start()
    runners = [Runner(f"i-{number}", note) for number in (1, 2)]
    routers = []
    try:
        store.put("op", "config", CONFIG)
        layers = {"From": 0, "TargetVersion": 80, "Version": 1}
        for one in runners:
            await one.start()
            store.put("servers", one.name, one.entry("llm", Kind="a100", layers=layers))
        for number in range(2):
            router = site.Router(f"edge-{number}", folder, store_port=store.port)
            routers.append(router)
            await router.start()
        await asyncio.sleep(2.0)
        killed, _ = routers

        async def stream(number):
            call_id = f"stream-{number}"
            more = ["Violethatch-Deadline-Ms: 20000"]
            data = site.request(call_id, "POST", "/check/1", body=b"a", more=more)
            answer = await site.call(killed.front, data)
            events = answer.body.count(b"\n\n")
            is_short = answer.status == 200 and events < EVENTS
            is_broken = is_short and answer.is_whole
            note(
                f"client has {events} of {EVENTS} events of {call_id}: "
                f"status {answer.status}, length or chunks: {answer.is_framed}, "
                f"connection: {answer.end}; looks complete: {answer.is_whole}"
                f"{'; BROKEN' if is_broken else ''}"
            )
            return not is_broken

        note(f"clients send {STREAMS} streams to {killed.name}")
        streams = [asyncio.create_task(stream(number)) for number in range(STREAMS)]
        await asyncio.sleep(1.2)
        if has_trouble:
            note(f"{killed.name} gets SIGKILL")
            killed.signal(signal.SIGKILL)
        return all(await asyncio.gather(*streams))
    finally:
        for one in routers:
            await one.stop()
        for one in (*runners, store):
            await one.stop()


if __name__ == "__main__":
    site.main(case, FOLDER)
