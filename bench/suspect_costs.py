# SPDX-License-Identifier: MIT
"""What it costs to know of requests that end servers, at a number of instances.

    python3 bench/suspect_costs.py [--instances 350]

Instances tell each other over a network of this process's own, so that datagrams and
bytes are counted exactly; processor time is that of one instance.
"""

from __future__ import annotations

import argparse
import asyncio
import time
import tracemalloc

from typing import Any, cast

from violethatch import clocks
from violethatch._peer_datagrams import PeerDatagrams
from violethatch.instances import InstanceDirectory, InstanceEntry
from violethatch.suspicion import CrashSuspects, End, SuspectLink
from violethatch.work_ids import prompt_part_id, work_id


#: Requests that a server runs at once.
_COMPANY = 96
#: How long words take to go round, both times, in seconds.
_SETTLE_S = 1.0
_MANY = 1_000
#: Parts that many requests share, and how many of them each has.
_POPULAR_PARTS = 6
_PARTS = 3
_BODY_BYTES = 1_000_000
_US_PER_S = 1e6


class _Wire:
    """Carries datagrams between the instances, and counts them."""

    def __init__(self) -> None:
        self.receivers: dict[tuple[str, int], PeerDatagrams] = {}
        self.datagrams = 0
        self.byte_count = 0
        self.receive_s = 0.0

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Carry one datagram at once."""
        self.datagrams += 1
        self.byte_count += len(data)
        started_s = time.process_time()
        self.receivers[to].datagram_received(data, to)
        self.receive_s += time.process_time() - started_s


def _work(number: int) -> str:
    """Return one of many works."""
    body = b"%d" % number
    return work_id(caller="c", method="POST", host="h", target="/", body=body)


class _Instances:
    """Instances that tell each other of ends."""

    def __init__(self, count: int) -> None:
        self.wire = _Wire()
        self.suspects: list[CrashSuspects] = []
        self.links: list[SuspectLink] = []
        entries = {
            f"i{number}": InstanceEntry(
                f"i{number}", "z", f"10.0.0.1:{number + 1}", "t", 10.0, 0.0
            )
            for number in range(count)
        }
        for own in entries.values():
            self._join(own, entries)

    def _join(self, own: InstanceEntry, entries: dict[str, InstanceEntry]) -> None:
        """Add one instance."""
        directory = InstanceDirectory(own)
        directory.take(entries, is_whole=True)
        datagrams = PeerDatagrams(directory)
        datagrams.connection_made(cast("Any", self.wire))
        host, _, port = own.address.partition(":")
        self.wire.receivers[host, int(port)] = datagrams
        self.suspects.append(CrashSuspects())
        self.links.append(SuspectLink(datagrams, self.suspects[-1]))

    def see(self, instance: int, work: str, lifetime: str) -> None:
        """Let an instance see an end."""
        end = End(work, lifetime, False, f"i{instance}")
        self.suspects[instance].note(end, now_s=clocks.now_s())
        self.links[instance].tell(end)

    async def cost(self, what: str, seen: list[tuple[int, str, str]]) -> None:
        """Let instances see ends; print what telling of them has cost."""
        datagrams, byte_count = self.wire.datagrams, self.wire.byte_count
        receive_s, started_s = self.wire.receive_s, time.process_time()
        for instance, work, lifetime in seen:
            self.see(instance, work, lifetime)
        await asyncio.sleep(_SETTLE_S)
        count = len(self.suspects)
        sent = self.wire.datagrams - datagrams
        per_instance = (self.wire.byte_count - byte_count) / count
        spent_us = (time.process_time() - started_s) / count * _US_PER_S
        received_us = (self.wire.receive_s - receive_s) / count * _US_PER_S
        print(
            f"| {what} | {sent} | {per_instance:,.0f} | {spent_us:,.0f} "
            f"| {received_us:,.0f} |"
        )


async def _tell(count: int) -> None:
    """Print what ends cost all instances together."""
    instances = _Instances(count)
    print("| what | datagrams | bytes an instance | us an instance | of it taking in |")
    print("|---|---|---|---|---|")
    company = [(n % count, _work(n), "s1") for n in range(_COMPANY)]
    await instances.cost("first end under 96 works", company)
    for number, nth in ((1, "second"), (2, "third")):
        await instances.cost(
            f"{nth} end under one of them", [(number, _work(0), f"s{number + 1}")]
        )
    parts = [prompt_part_id(f"{number:x}") for number in range(_POPULAR_PARTS)]
    for nth in ("first", "second", "third"):
        await instances.cost(
            f"{nth} end under 96 requests with three of six parts",
            [
                (n % count, parts[(n + k) % _POPULAR_PARTS], nth)
                for n in range(_COMPANY)
                for k in range(_PARTS)
            ],
        )
    herd = [(n % count, _work(_MANY + n), f"h{n}") for n in range(4 * count)]
    await instances.cost("four ends at each instance at once", herd)


def _keep() -> None:
    """Print what a full table takes, and a look into it."""
    works = [_work(number) for number in range(4 * _MANY)]
    tracemalloc.start()
    suspects = CrashSuspects()
    started_s = time.process_time()
    for number, work in enumerate(works):
        for lifetime in ("a", "b"):
            end = End(work, f"{lifetime}{number}", False, "i1")
            suspects.note(end, now_s=0.0)
    note_us = (time.process_time() - started_s) / len(works) * _US_PER_S
    held_kb = tracemalloc.get_traced_memory()[0] / 1e3
    tracemalloc.stop()
    started_s = time.process_time()
    for work in works:
        suspects.hold(work, now_s=0.0)
    look_us = (time.process_time() - started_s) / len(works) * _US_PER_S
    part = prompt_part_id("a")
    for lifetime in ("a", "b", "c"):
        suspects.note(End(part, lifetime, False, "i1"), now_s=0.0)
    started_s = time.process_time()
    for number in range(_MANY):
        suspects.hold_for((works[number], part), now_s=0.0)
    held_us = (time.process_time() - started_s) / _MANY * _US_PER_S
    print(f"full table: {len(suspects)} works, {held_kb:,.0f} KB")
    print(f"an end noted, most with a full table: {note_us:.1f} us")
    print(f"a look: {look_us:.2f} us; a request with a held part: {held_us:.1f} us")


def _digest() -> None:
    """Print what a body's digest takes."""
    for size in (1_000, _BODY_BYTES):
        body = bytes(size)
        started_s = time.process_time()
        for _ in range(100):
            work_id(caller="c", method="POST", host="h", target="/", body=body)
        each_us = (time.process_time() - started_s) / 100 * _US_PER_S
        print(f"digest of {size:,} bytes: {each_us:,.1f} us")


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=350)
    asyncio.run(_tell(parser.parse_args().instances))
    _keep()
    _digest()


if __name__ == "__main__":
    main()
