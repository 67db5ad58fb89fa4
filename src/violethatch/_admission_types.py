# SPDX-License-Identifier: MIT
"""Types and interfaces of the admission control."""

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
    """A request to start a stream.

    Attributes:
        priority: The call's priority, 0 to 99; 0 is the most urgent.
        workspace: The caller's workspace, or None if callers are not distinguished.
        tokens: The number of tokens of the prompt and the expected response.
        target_s: The maximum time to the first event, in seconds.
    """

    call: Call
    priority: int
    workspace: str | None
    tokens: float
    target_s: float

    @property
    def work_id(self) -> str:
        """The id that stays the same when the caller retries."""
        return self.call.work_id(self.workspace)


class Capacity(Protocol):
    """Provides the capacity and load of a service's runners."""

    def room(self, service: ServiceSpec, targets: Targets) -> Room:
        """Return the capacity of the usable runners."""

    def running(self, service: ServiceSpec) -> int:
        """Return the number of streams at the usable runners, over the instances."""

    def first_server_utilization(self, service: ServiceSpec, path: Path) -> float:
        """Return the utilization of a path's first runner."""


class PeerDemand(Protocol):
    """Provides the demand at other instances."""

    def demand(self) -> Demand:
        """Return the sum over the other instances that report."""

    def age_s(self) -> float | None:
        """Return the age of the sum in seconds, or None without a sum."""

    def has_peers(self) -> bool:
        """Return whether other active instances are known."""

    def instance_count(self) -> int:
        """Return the number of other instances in the sum."""


class RetryScheduler(Protocol):
    """Reserves starts for the retries of rejected callers."""

    def schedule_retry(
        self,
        service: str,
        work: str,
        priority: int,
        *,
        starts_per_s: float,
        max_delay_s: float,
    ) -> RetrySlot:
        """Return the time of a caller's retry, with a reserved start if possible."""

    async def claim(self, work: str) -> Claim:
        """Claim a reserved start, if it exists and is due."""

    def reserved(self, service: str) -> int:
        """Return the number of starts reserved by this instance that are not due."""

    def kept(self) -> int:
        """Return the number of claimable reservations stored at this instance."""


class AdmissionState(NamedTuple):
    """A service's admission state, as exported in metrics."""

    plan: Plan
    room: Room | None
    running: int
    waiting: int
    reserved: int


class AdmissionObserver(Protocol):
    """Records rejections and waiting times."""

    def record_refusal(self, priority: int, reason: str) -> None:
        """Record a rejection."""

    def record_wait(self, wait_s: float) -> None:
        """Record a waiting time, in seconds."""


class NullAdmissionObserver:
    """Records nothing."""

    def record_refusal(self, priority: int, reason: str) -> None:
        """Do nothing."""

    def record_wait(self, wait_s: float) -> None:
        """Do nothing."""


class AdmissionContext(Protocol):
    """The dependencies that the governed services of one instance share.

    Attributes:
        section: The settings.
        capacity: Provides the capacity and load of the runners.
        peers: Provides the demand at other instances.
        returns: Reserves starts for retries.
        observer: Records rejections and waiting times.
        counter: Counts offers.
        phase: The initial value of the admitter's remainders, 0 to 1.
    """

    section: AdmissionSection
    capacity: Capacity
    peers: PeerDemand
    returns: RetryScheduler
    observer: AdmissionObserver
    counter: DemandCounter
    phase: float

    def demand(self) -> Demand:
        """Return the demand at this instance, including its running streams."""

    def workspace_names(self) -> dict[int, str]:
        """Return the names of the declared workspaces by `server_number`."""
