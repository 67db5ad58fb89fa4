# SPDX-License-Identifier: MIT
"""What admission needs of the instance that it serves."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from .admission_plan import Plan
from .capacity import Room, Targets
from .demand import Demand, DemandCounter
from .desired import ServiceSpec
from .paths import Path
from .router_settings import AdmissionSection
from .start_reservations import Claim, RetrySlot
from .upstream import Call


class StartRequest(NamedTuple):
    """A stream that asks to be started.

    Attributes:
        priority: The call's urgency, 0 to 99; 0 is the most urgent.
        workspace: Whose it is, or None where callers are not told apart.
        tokens: Its prompt and its expected answer.
        target_s: How long its first event may take, in seconds.
    """

    call: Call
    priority: int
    workspace: str | None
    tokens: float
    target_s: float

    @property
    def work(self) -> str:
        """The id that stays the same when the caller comes back."""
        return self.call.work_id(self.workspace)


class Capacity(Protocol):
    """What is known of a service's runners."""

    def room(self, service: ServiceSpec, targets: Targets) -> Room:
        """Return what the usable runners can take."""

    def running(self, service: ServiceSpec) -> int:
        """Return the streams of all instances at the usable runners."""

    def first_server_utilization(self, service: ServiceSpec, path: Path) -> float:
        """Return the part of a path's first runner that is taken."""


class PeerDemand(Protocol):
    """What other instances are asked for."""

    def demand(self) -> Demand:
        """Return the sum over all other instances that are heard."""

    def age_s(self) -> float | None:
        """Return the age of that sum in seconds, or None without any."""

    def has_peers(self) -> bool:
        """Tell whether other instances are known to serve."""

    def instance_count(self) -> int:
        """Return how many other instances are in the sum."""


class Returns(Protocol):
    """Reserves starts for refused callers."""

    def schedule_retry(
        self,
        service: str,
        work: str,
        priority: int,
        *,
        starts_per_s: float,
        max_delay_s: float,
    ) -> RetrySlot:
        """Return when a caller should come back, with a start reserved if possible."""

    async def claim(self, work: str) -> Claim:
        """Use a reserved start, if there is one and it is due."""

    def reserved(self, service: str) -> int:
        """Return how many starts are reserved by this instance and not yet due."""

    def kept(self) -> int:
        """Return how many reservations this instance keeps that can be claimed."""


class AdmissionState(NamedTuple):
    """A service's admission as metrics show it."""

    plan: Plan
    room: Room | None
    running: int
    waiting: int
    reserved: int


class AdmissionObserver(Protocol):
    """Counts what admission does."""

    def record_refusal(self, priority: int, reason: str) -> None:
        """Count a refusal."""

    def record_wait(self, wait_s: float) -> None:
        """Count a wait, in seconds."""


class Unobserved:
    """Counts nothing."""

    def record_refusal(self, priority: int, reason: str) -> None:
        """Count nothing."""

    def record_wait(self, wait_s: float) -> None:
        """Count nothing."""


class AdmissionShared(Protocol):
    """What the governed services of one instance share.

    Attributes:
        section: The settings.
        capacity: Knows the runners.
        peers: Knows what other instances are asked for.
        returns: Reserves starts.
        observer: Counts what admission does.
        counter: Counts offers.
        phase: Where the instance begins to spread what it admits, 0 to 1.
    """

    section: AdmissionSection
    capacity: Capacity
    peers: PeerDemand
    returns: Returns
    observer: AdmissionObserver
    counter: DemandCounter
    phase: float

    def demand(self) -> Demand:
        """Return what this instance is asked for, and what it runs."""

    def workspace_names(self) -> dict[int, str]:
        """Return the declared workspaces by the number that stands for them."""
