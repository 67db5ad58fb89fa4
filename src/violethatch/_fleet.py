# SPDX-License-Identifier: MIT
"""Connections of an instance to runners, and route selection over them."""

from __future__ import annotations

import asyncio
import random

from collections.abc import Collection, Iterable
from typing import TypedDict

import aiohttp

from . import clocks, events
from ._engine_link import EngineLink
from .layers import LayerRange
from .membership import LeavingMarks, watched_runners
from .ports import ListedInstance
from .routes import (
    Candidate,
    MarginalCost,
    MinInFlightHops,
    RandomHops,
    RoundRobinHops,
    RoutePolicy,
)
from .settings import InstanceSection, PolicySection


#: Receive timeout of a runner's connection, in heartbeat intervals of this instance.
_SILENCE_HEARTBEATS = 3.0
#: Interval between checks for overdue steps, in seconds.
_STEP_CHECK_INTERVAL_S = 0.05


class RunnerState(TypedDict):
    """State of a runner in the state dump."""

    runner_id: str
    connected: bool
    stalled: bool
    leaving: list[str]
    layers: list[int]
    kind: str
    own: int
    others: int
    quickest_ms: float
    late_results: int


def make_policy(name: str, rng: random.Random) -> RoutePolicy:
    """Return the route policy for its name in the settings."""
    if name == "random":
        return RandomHops(rng)
    if name == "round_robin":
        return RoundRobinHops()
    if name == "least_own":
        return MinInFlightHops()
    return MarginalCost(sees_others=name != "own_only")


class Fleet:
    """Maintains connections to runners and selects routes over them.

    Args:
        policy: Settings of routing and failure detection.
        instance: Id and availability zone of this instance.
        rng: Random number generator of randomized policies.
    """

    def __init__(
        self, policy: PolicySection, instance: InstanceSection, *, rng: random.Random
    ) -> None:
        self._policy = policy
        self._instance = instance
        self._route_policy = make_policy(policy.route_policy, rng)
        self._links: dict[str, EngineLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._changed = asyncio.Event()
        self._session: aiohttp.ClientSession | None = None
        self.marks = LeavingMarks()

    async def start(self) -> None:
        """Create the HTTP session and start the step check."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        self._step_checker = asyncio.create_task(self._check_steps_loop())

    async def stop(self) -> None:
        """Close all connections."""
        tasks = [self._step_checker, *self._tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _check_steps_loop(self) -> None:
        """Periodically check all connections for overdue steps."""
        while True:
            await asyncio.sleep(_STEP_CHECK_INTERVAL_S)
            now_s = clocks.now_s()
            for link in self._links.values():
                link.check_timeouts(now_s)

    def update_runners(self, listed: Iterable[ListedInstance]) -> None:
        """Connect to the listed runners that are assigned to this instance.

        A runner that isn't assigned any more gets no new work, but keeps its
        connection while that is up: the list may be stale, and a stream may be in
        flight.
        """
        runners = {entry["id"]: entry for entry in listed if entry["role"] == "engine"}
        watched = watched_runners(
            {key: entry["availability_zone"] for key, entry in runners.items()},
            instance_id=self._instance.id,
            availability_zone=self._instance.availability_zone,
            remote_limit=self._policy.remote_runners,
        )
        for runner_id in watched:
            self._connect(runners[runner_id])
            self._mark(runner_id, "list", runners[runner_id]["leaving"])
        for runner_id in set(self._links) - watched:
            self._mark(runner_id, "list", True)
            link = self._links[runner_id]
            if link.hello is None and link.load_view.own == 0:
                self._remove(runner_id)

    def update_operator_marks(self, leaving: Collection[str]) -> None:
        """Mark the runners that operators drain, and clear their other marks."""
        for runner_id in self._links:
            self._mark(runner_id, "operator", runner_id in leaving)

    def choose_route(
        self, model: str, version: str, *, layer_count: int, excluded: Collection[str]
    ) -> tuple[Candidate, ...] | None:
        """Return a route through a model's layers, or None if there is none.

        Excluded runners are used only if there is no route without them.
        """
        candidates = self._candidates(model, version)
        preferred = [
            candidate for candidate in candidates if candidate.runner_id not in excluded
        ]
        return self._route_policy.choose(
            preferred, layer_count=layer_count
        ) or self._route_policy.choose(candidates, layer_count=layer_count)

    def choose_replacement(
        self, model: str, version: str, layers: LayerRange, *, excluded: Collection[str]
    ) -> Candidate | None:
        """Return the preferred runner with exactly these layers, or None."""
        matching = [
            candidate._replace(layers=LayerRange(0, 1))
            for candidate in self._candidates(model, version)
            if candidate.layers == layers
        ]
        preferred = [
            candidate for candidate in matching if candidate.runner_id not in excluded
        ]
        route = self._route_policy.choose(preferred or matching, layer_count=1)
        return route[0]._replace(layers=layers) if route else None

    async def wait_changed(self, timeout_s: float) -> None:
        """Wait up to *timeout_s* until the state of a runner changes."""
        self._changed.clear()
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            return

    def open(self, runner_id: str) -> EngineLink:
        """Count a new stream and return the connection to its runner."""
        link = self._links[runner_id]
        link.load_view.opened(now_s=clocks.now_s())
        return link

    def close(self, link: EngineLink, request: str, epoch: int) -> None:
        """Remove a stream from the count and cancel it on its runner."""
        link.load_view.closed(now_s=clocks.now_s())
        link.cancel(request, epoch)

    def record_leaving_refusal(self, runner_id: str) -> None:
        """Record that a runner rejected a request because it is draining."""
        self._mark(runner_id, "refusal", True)

    def links(self) -> list[EngineLink]:
        """Return all connections."""
        return list(self._links.values())

    def state(self) -> list[RunnerState]:
        """Return the state of each runner."""
        return [self._runner_state(link) for link in self._links.values()]

    def _runner_state(self, link: EngineLink) -> RunnerState:
        hello = link.hello
        return RunnerState(
            runner_id=link.runner_id,
            connected=hello is not None,
            stalled=link.is_stalled,
            leaving=self.marks.sources(link.runner_id),
            layers=list(hello.layers) if hello else [],
            kind=hello.kind if hello else "",
            own=link.load_view.own,
            others=link.load_view.others,
            quickest_ms=round(link.load_view.quickest_s * 1000, 3),
            late_results=link.late_results,
        )

    def _candidates(self, model: str, version: str) -> list[Candidate]:
        """Return the runners eligible for new work of a model's version."""
        return [
            Candidate(
                runner_id=link.runner_id,
                layers=link.hello.layers,
                peak_tokens_per_s=link.hello.peak_tokens_per_s,
                quickest_s=link.load_view.quickest_s,
                own=link.load_view.own,
                others=link.load_view.others,
            )
            for link in self._links.values()
            if link.hello is not None
            and link.is_usable
            and link.hello.model == model
            and link.hello.version == version
            and not self.marks.is_leaving(link.runner_id)
        ]

    def _connect(self, entry: ListedInstance) -> None:
        """Connect to a runner; reconnect if its address has changed."""
        runner_id = entry["id"]
        url = f"http://{entry['address']}/engine"
        link = self._links.get(runner_id)
        if link is not None and link.url == url:
            return
        if link is not None:
            self._remove(runner_id)
        link = EngineLink(
            runner_id=runner_id,
            availability_zone=entry["availability_zone"],
            url=url,
            stall_initial_s=self._policy.stall_initial_s,
            stall_floor_s=self._policy.stall_floor_s,
            silence_limit_s=self._policy.heartbeat_interval_s * _SILENCE_HEARTBEATS,
            on_change=lambda: self._on_change(runner_id),
        )
        self._links[runner_id] = link
        assert self._session is not None
        self._tasks[runner_id] = asyncio.create_task(link.run(self._session))

    def _on_change(self, runner_id: str) -> None:
        """Update the marks after a state change of a runner."""
        link = self._links.get(runner_id)
        if link is None:
            return
        if link.hello is None:
            # The next process at this address hasn't reported that it is draining.
            self.marks.lift(runner_id, "refusal")
            self.marks.lift(runner_id, "report")
        else:
            self._mark(runner_id, "report", link.load.leaving)
        self._changed.set()

    def _mark(self, runner_id: str, source: str, leaving: bool) -> None:
        """Set or clear the leaving mark of a source."""
        if not leaving:
            self.marks.lift(runner_id, source)
        elif self.marks.mark(runner_id, source):
            events.log(events.RUNNER_LEAVING, runner=runner_id, source=source)

    def _remove(self, runner_id: str) -> None:
        """Close the connection to a runner and remove its state."""
        self._tasks.pop(runner_id).cancel()
        del self._links[runner_id]
        self.marks.forget(runner_id)
