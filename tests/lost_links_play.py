# SPDX-License-Identifier: MIT
"""Plays many instances of which most have lost their links to all backend servers."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import random
import tempfile
import time

from collections import Counter, defaultdict
from pathlib import Path
from typing import NamedTuple

import defopt
import uvloop

from linked_fleet import PLAIN_PATH, STREAM_PATH, WAYS, LinkedFleet, Try
from signaling_servers import measure_loop_lag
from violethatch import clocks


PATHS = (STREAM_PATH, PLAIN_PATH)
#: The servers and links share the play's loop.  A delay of this length, in seconds, may
#: fail a link check, or keep servers from answering.
DELAY_S = 0.1
LONG_DELAY_S = 0.25
CHECK_S = 0.25
#: How long instances may take to be as before after such a delay, in seconds.
RECOVERY_S = 1.0
#: How long callers send before the loss, so that connections are open, in seconds.
WARM_UP_S = 0.3
#: How long links are back before the next loss, in seconds.
CALM_S = 1.0
INF = math.inf
#: The numbers of the lines that are read.
LOST, BACK, REFUSED = 2125, 2126, 2206
FORWARDED, FORWARD_REFUSED, FORWARD_TAKEN = 2225, 2226, 2241
NUMBERS = (LOST, BACK, REFUSED, FORWARDED, FORWARD_REFUSED, FORWARD_TAKEN)
LINKS_LOST_CODE = 1208


class Lines(NamedTuple):
    """Log lines of all instances about forwarded requests.

    Attributes:
        forwarded: Requests that went on through other instances.
        refused: Requests of callers for which no instance that reaches a server was
            found.
        forward_refused: Refusals by other instances.
        forward_taken: Requests that other instances took.
    """

    forwarded: int
    refused: int
    forward_refused: int
    forward_taken: int

    @property
    def asked_per_call(self):
        """How many instances were asked for a request on average."""
        return (self.forward_refused + self.forward_taken) / max(1, self.forwarded)


class Played(NamedTuple):
    """What came of the requests while links were lost.

    Attributes:
        cut_s: When the links were lost, in monotonic seconds.
        there: The tries at instances without links.
        elsewhere: The tries at the others.
        disturbed: How many tries are left out: a delay of the loop lost links.
        max_delay_s: The longest delay of the loop, in seconds.
        lines: What the instances logged.
    """

    cut_s: float
    there: list[Try]
    elsewhere: list[Try]
    disturbed: int
    max_delay_s: float
    lines: Lines

    def there_from(self, from_s, path):
        """Return the tries of a path at instances without links, from a time on."""
        return [
            one
            for one in self.there
            if one.path == path and one.sent_s - self.cut_s >= from_s
        ]

    def served_by_second(self, tries, path):
        """Return the served share of some tries by second since the cut."""
        by_second = defaultdict(list)
        for one in tries:
            if one.path == path:
                by_second[int(one.sent_s - self.cut_s)].append(one)
        return {second: served(found) for second, found in sorted(by_second.items())}


def served(tries):
    """Return the served share of some tries; without any, not a number."""
    statuses = Counter(one.status == 200 for one in tries)
    return statuses[True] / statuses.total() if statuses else float("nan")


def draw_cut(instances, share, rng):
    """Return a share of the instances, drawn from all zones."""
    return rng.sample(instances, round(share * len(instances)))


async def play(fleet, cut, way, *, lag, for_s, pause_s, rng):
    """Take the links of some instances for a while; return what came of each request.

    Args:
        fleet: The instances.
        cut: Those that lose their links.
        way: How links are lost.
        lag: The delays of the loop since before.
        for_s: How long they are lost, in seconds.
        pause_s: The time between requests of a path to an instance, in seconds.
        rng: Spreads the requests over that time.
    """
    names = {one.name for one in cut}
    await call_all(fleet, for_s=WARM_UP_S, pause_s=pause_s, rng=rng)
    marks = {one.name: one.log.stat().st_size for one in fleet.instances}
    for one in cut:
        one.cut(way)
    cut_s = clocks.now_s()
    tries = await call_all(fleet, for_s=for_s, pause_s=pause_s, rng=rng)
    for one in cut:
        one.heal()
    others = [one for one in fleet.instances if one not in cut]
    disturbances = [
        *false_losses([read_lines(one.log) for one in others], lag),
        *long_delays(lag),
    ]
    sound = [one for one in tries if not is_disturbed(one, disturbances)]
    logs = [read_lines(one.log, marks[one.name]) for one in fleet.instances]
    return Played(
        cut_s,
        [one for one in sound if one.instance in names],
        [one for one in sound if one.instance not in names],
        len(tries) - len(sound),
        lag.max_s,
        count_lines([line for lines in logs for line in lines]),
    )


def read_lines(log, mark=0):
    """Return a log's lines that count here, from an offset in bytes on."""
    with log.open("rb") as file:
        file.seek(mark)
        lines = file.read().splitlines()
    wanted = [f'"number":{one},'.encode() for one in NUMBERS]
    return [json.loads(one) for one in lines if any(text in one for text in wanted)]


def false_losses(logs, lag):
    """Return from when until when delays kept instances from using their links.

    Args:
        logs: The lines of each instance whose links were not cut.
        lag: The delays of the loop.
    """
    wall_s = time.time() - clocks.now_s()
    delays = lag.stalls(least_s=DELAY_S, within_s=CHECK_S)
    losses = []
    for lines in logs:
        lost = [one["timestamp"] - wall_s for one in lines if one["number"] == LOST]
        back = [one["timestamp"] - wall_s for one in lines if one["number"] == BACK]
        for lost_s in lost:
            loss = (lost_s - CHECK_S, min((s for s in back if s > lost_s), default=INF))
            if any(overlap(loss, delay) for delay in delays):
                losses.append((loss[0], loss[1] + RECOVERY_S))
    return losses


def long_delays(lag):
    """Return from when until when servers may have been unable to answer."""
    delays = lag.stalls(least_s=LONG_DELAY_S, within_s=2 * LONG_DELAY_S)
    return [(from_s, until_s + RECOVERY_S) for from_s, until_s in delays]


def overlap(one, other):
    """Tell whether two spans of time have a moment in common."""
    return one[0] <= other[1] and other[0] <= one[1]


def is_disturbed(one, disturbances):
    """Tell whether a try was in flight during a disturbance."""
    span = (one.sent_s, one.sent_s + one.took_s)
    return any(overlap(span, disturbance) for disturbance in disturbances)


async def call_all(fleet, *, for_s, pause_s, rng):
    """Call all instances on all paths over kept connections, evenly spread."""
    calls = [
        _call_later(
            fleet, one, path, rng.uniform(0, min(pause_s, for_s)), for_s, pause_s
        )
        for one in fleet.instances
        for path in PATHS
    ]
    return [one for part in await asyncio.gather(*calls) for one in part]


async def _call_later(fleet, instance, path, after_s, for_s, pause_s):
    """Call an instance steadily after a while."""
    await asyncio.sleep(after_s)
    return await fleet.call_steadily(
        instance, path=path, for_s=for_s - after_s, pause_s=pause_s
    )


def count_lines(lines):
    """Count lines about forwarded requests."""
    counts = Counter(one["number"] for one in lines)
    forwarded = {one["request_id"] for one in lines if one["number"] == FORWARDED}
    refused = sum(
        one["number"] == REFUSED
        and one["code"] == LINKS_LOST_CODE
        and "forwarded_by" not in one
        for one in lines
    )
    return Lines(
        len(forwarded), refused, counts[FORWARD_REFUSED], counts[FORWARD_TAKEN]
    )


def report(way, played):
    """Print what came of a play."""
    lines = played.lines
    print(
        f"{way}: {len(played.there)} tries there, {len(played.elsewhere)} elsewhere,"
        f" {played.disturbed} left out, loop delayed {played.max_delay_s:.2f} s;"
        f" {lines.forwarded} forwarded, {lines.refused} refused (1208),"
        f" {lines.forward_refused} refusals (2226), {lines.forward_taken} taken,"
        f" {lines.asked_per_call:.2f} asked a request"
    )
    for path in PATHS:
        there = played.served_by_second(played.there, path)
        elsewhere = played.served_by_second(played.elsewhere, path)
        for name, shares in (("there", there), ("elsewhere", elsewhere)):
            print(f"  {path} {name}", *(f"{one:.2f}" for one in shares.values()))
        print(
            f"  {path} there from 1.5 s on {served(played.there_from(1.5, path)):.3f}"
        )


async def _play_all(
    folder, *, count, share, ways, for_s, pause_s, seed, at_once, whole
):
    rng = random.Random(seed)
    zones = list(itertools.islice(itertools.cycle("abc"), count))
    fleet = LinkedFleet(folder, zones=zones, at_once=at_once)
    try:
        began_s = clocks.now_s()
        await fleet.start()
        print(f"{count} instances started in {clocks.now_s() - began_s:.1f} s")
        for way in ways:
            pairs = zip(fleet.instances, zones, strict=True)
            cut = [one for one, zone in pairs if zone in whole]
            cut = cut or draw_cut(fleet.instances, share, rng)
            async with measure_loop_lag() as lag:
                played = await play(
                    fleet, cut, way, lag=lag, for_s=for_s, pause_s=pause_s, rng=rng
                )
            report(f"{way}, {len(cut)} of {count}", played)
            await asyncio.sleep(CALM_S)
            tries = await call_all(fleet, for_s=1.0, pause_s=pause_s, rng=rng)
            print(f"  {CALM_S} s after the links are back: {served(tries):.3f}")
    finally:
        await fleet.stop()


def main(
    *,
    folder: Path | None = None,
    count: int = 40,
    share: float = 0.85,
    whole: str = "",
    ways: list[str] = list(WAYS),  # noqa: B006
    for_s: float = 8.0,
    pause_s: float = 1.0,
    seed: int = 1,
    at_once: int = 10,
) -> None:
    """Play the loss of links.

    Args:
        folder: A new folder for settings and logs; a temporary one if omitted.
        count: How many instances there are, in zones a, b and c.
        share: Which part of them loses its links.
        whole: Zones that lose their links as a whole, as "ab"; instead of *share*.
        ways: How links are lost, one play after another.
        for_s: How long they are lost, in seconds.
        pause_s: The time between requests of a path to an instance, in seconds.
        seed: The seed of the instances drawn.
        at_once: How many processes start side by side.
    """
    with tempfile.TemporaryDirectory() as made:
        path = folder or Path(made)
        path.mkdir(parents=True, exist_ok=True)
        uvloop.run(
            _play_all(
                path,
                count=count,
                share=share,
                ways=ways,
                for_s=for_s,
                pause_s=pause_s,
                seed=seed,
                at_once=at_once,
                whole=whole,
            )
        )


if __name__ == "__main__":
    defopt.run(main)
