# SPDX-License-Identifier: MIT
"""Replay ways to keep a limit of one server that holds for all instances together.

    python3 bench/limit_ways.py [SEED]

Each line tells, for one way, the most requests that came within any four seconds, which
part of the limit was used, and the datagrams a second at the instance that has most.
Demand is even, or comes at one instance alone; news of demand is as old as the tree of
loads makes it.  Nothing is lost and no instance goes: see the tests for that.
"""

from __future__ import annotations

import collections
import heapq
import math
import random
import sys

from collections.abc import Callable
from typing import NamedTuple

from violethatch.limit_permits import WINDOW_S, PermitCache, PermitIssuer


#: Requests a second that would go to the server, of each instance.
_DEMAND_A_S = 18.0
#: How long a replay lasts, and from when on it is counted, in seconds.
_LASTS_S, _COUNTED_S = 120.0, 10.0
#: How old sums of demand are, in seconds, and how much of it an instance has whose
#: demand has just begun.
_NEWS_S = 1.0
_INSTANCES = (8, 64, 350)
_LIMITS_A_S = (0.3, 2.4, 4.9, 50.0)
#: How many requests a second make a part worth having.
_PART_A_S = 2.0


class Outcome(NamedTuple):
    """What came of a replay."""

    most: int
    used_part: float
    datagrams_a_s: float


class Way:
    """Decides whether an instance may send.

    Args:
        instances: How many there are.
        per_s: The limit.
        rng: All choices by chance.
    """

    datagrams = 0

    def __init__(self, instances: int, per_s: float, rng: random.Random) -> None:
        self.instances = instances
        self.per_s = per_s
        self.rng = rng

    def may_send(self, one: int, now_s: float) -> bool:
        """Tell whether an instance may send a request."""
        raise NotImplementedError


class _Buckets(Way):
    """Each of some instances has a part, and a bucket of one request."""

    def part_a_s(self, one: int, now_s: float) -> float:
        """Return an instance's part, in requests a second."""
        return self.per_s / self.instances

    def __init__(self, instances: int, per_s: float, rng: random.Random) -> None:
        super().__init__(instances, per_s, rng)
        self._level = [rng.random() for _ in range(instances)]
        self._filled_s = [0.0] * instances

    def may_send(self, one: int, now_s: float) -> bool:
        """Take a request off the bucket, if one is in it."""
        gained = (now_s - self._filled_s[one]) * self.part_a_s(one, now_s)
        self._filled_s[one] = now_s
        self._level[one] = min(1.0, self._level[one] + gained)
        if self._level[one] < 1.0:
            return False
        self._level[one] -= 1.0
        return True


class EqualParts(_Buckets):
    """Each instance of the list has an equal part."""


class FewByRank(_Buckets):
    """As many send as have a part worth having, each an equal one."""

    def part_a_s(self, one: int, now_s: float) -> float:
        """Return an instance's part: nothing for most."""
        few = min(self.instances, max(1, math.floor(self.per_s / _PART_A_S)))
        # The one with all demand, where there is one, is not among the first.
        return self.per_s / few if self.instances - one <= few else 0.0


class ByDemand(_Buckets):
    """Each has a part by its demand, as sums tell it."""

    def __init__(self, instances: int, per_s: float, rng: random.Random) -> None:
        super().__init__(instances, per_s, rng)
        self._wanted_s: list[collections.deque[float]] = [
            collections.deque(maxlen=100) for _ in range(instances)
        ]
        self._sum = (0.0, 0)
        # Four datagrams a second to each of four neighbours, and from them.
        self.datagrams = int(2 * 4 * 4 * _LASTS_S)

    def part_a_s(self, one: int, now_s: float) -> float:
        """Return an instance's part of the demand that was told."""
        self._wanted_s[one].append(now_s)
        if now_s - self._sum[0] >= _NEWS_S:
            self._sum = (now_s, sum(self._own(n, now_s) for n in range(self.instances)))
        total = max(self._sum[1], 1)
        return self.per_s * min(1.0, self._own(one, now_s) / total)

    def _own(self, one: int, now_s: float) -> int:
        """Return what an instance wanted in the last second."""
        return sum(now_s - at_s < 1.0 for at_s in self._wanted_s[one])


class Keeper(Way):
    """One instance gives permits on request."""

    def __init__(self, instances: int, per_s: float, rng: random.Random) -> None:
        super().__init__(instances, per_s, rng)
        self._keeper = PermitIssuer(rng=rng, now_s=0.0)
        self._stocks = [PermitCache() for _ in range(instances)]

    def may_send(self, one: int, now_s: float) -> bool:
        """Ask the keeper, unless it has told to wait."""
        if self._stocks[one].blocked_s(now_s=now_s):
            return False
        self.datagrams += 2
        reply = self._keeper.request(str(one), self.per_s, now_s=now_s)
        if not reply.is_granted:
            self._stocks[one].block("s", reply.wait_s, now_s=now_s)
        return reply.is_granted


def most_within(times_s: list[float], span_s: float) -> int:
    """Return the most of some rising times within any span so long."""
    first = most = 0
    for last, at_s in enumerate(times_s):
        while at_s - times_s[first] >= span_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def replay(
    make: Callable[[int, float, random.Random], Way],
    instances: int,
    per_s: float,
    *,
    is_even: bool,
    seed: int,
) -> Outcome:
    """Let requests come, and count what a way lets through."""
    rng = random.Random(seed)
    way = make(instances, per_s, rng)
    wanting = range(instances) if is_even else range(1)
    each_a_s = _DEMAND_A_S if is_even else max(_DEMAND_A_S, 1.5 * per_s)
    coming = [(rng.expovariate(each_a_s), one) for one in wanting]
    heapq.heapify(coming)
    sent_s = []
    while coming[0][0] < _LASTS_S:
        now_s, one = coming[0]
        heapq.heapreplace(coming, (now_s + rng.expovariate(each_a_s), one))
        if way.may_send(one, now_s):
            sent_s.append(now_s)
    counted = [at_s for at_s in sent_s if at_s >= _COUNTED_S]
    used_part = len(counted) / (_LASTS_S - _COUNTED_S) / per_s
    return Outcome(most_within(sent_s, WINDOW_S), used_part, way.datagrams / _LASTS_S)


def main() -> None:
    """Print a table."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print("| instances | limit a s, in 4 s | demand | way | most | used | datagrams |")
    print("|---|---|---|---|---|---|---|")
    for instances in _INSTANCES:
        for per_s in _LIMITS_A_S:
            for is_even in (True, False):
                for make in (EqualParts, FewByRank, ByDemand, Keeper):
                    got = replay(make, instances, per_s, is_even=is_even, seed=seed)
                    cells = (
                        instances,
                        f"{per_s:g}, {WINDOW_S * per_s:.1f}",
                        "even" if is_even else "at one",
                        make.__name__,
                        got.most,
                        f"{got.used_part:.2f}",
                        f"{got.datagrams_a_s:.0f}",
                    )
                    print("|", " | ".join(map(str, cells)), "|")


if __name__ == "__main__":
    main()
