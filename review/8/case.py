# SPDX-License-Identifier: MIT
"""Streams whose answers lack a length, through a process that is killed."""

from __future__ import annotations

import asyncio
import signal
import sys

from pathlib import Path


FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import small_site as site  # noqa: E402


STREAMS = 6
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


class UnframedRunner(site.Runner):
    """Answers without a length: the answer finishes when its connection does."""

    async def run(self, head, body, writer):
        """Run a stream to its end, whole, and close the connection."""
        call_id = head.headers["violethatch-attempt-id"]
        self.record(f"{self.name} runs {call_id}")
        first = int(head.headers.get("last-event-id", 0)) + 1
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Violethatch-Attempt-Id: {call_id}\r\n"
                f"Violethatch-Response-Signature: proof-{call_id}\r\n"
                "Connection: close\r\n\r\n"
            ).encode()
        )
        for number in range(first, EVENTS + 1):
            writer.write(f"id: {number}\ndata: {'x' * 60}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        self.record(f"{self.name} has sent {call_id} whole")
        return False


async def case(folder, note, has_trouble):
    """Return whether no answer that was cut short looked complete."""
    store = site.Store()
    await store.start()
    runners = [UnframedRunner(f"i-{number}", note) for number in (1, 2)]
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
            note(f"client sends {call_id} to {killed.name}")
            answer = await site.call(killed.front, data)
            events = answer.body.count(b"\n\n")
            note(
                f"client has {events} of {EVENTS} events of {call_id}: "
                f"status {answer.status}, length or chunks: {answer.is_framed}, "
                f"connection: {answer.end}; looks complete: {answer.is_whole}"
            )
            is_success = answer.status == 200
            return not (is_success and answer.is_whole and events < EVENTS)

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
