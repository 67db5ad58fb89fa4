# SPDX-License-Identifier: MIT
"""Settings of the router process: an INI file, validated field by field.

``docs/settings.md`` lists them all and is held against this module by a test.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import enum
import math
import pathlib

from collections.abc import Iterable, Mapping
from typing import Annotated, NamedTuple

import msgspec

from .errors import SettingsError
from .memory_budget import request_budget_bytes
from .settings import (
    InstanceSection,
    Port,
    Positive,
    PositiveInt,
    check_lease_times,
    parse_sections,
    read_settings_text,
)


#: An address by IP number.
Endpoint = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
#: Descriptors for files, listeners and the store; the platform sets 200 aside.
_DESCRIPTORS_OF_OWN = 200
#: Descriptors that a request may need: the caller's connection, the runner's,
#: and one for a report or an order meanwhile.
_DESCRIPTORS_A_REQUEST = 3
_BYTES_PER_MB = 1_000_000
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]


class RouterListenSection(NamedTuple):
    """Where the router listens."""

    callers: Endpoint
    readiness: Endpoint
    metrics_port: Port = 0
    #: Where other instances ask this one; without it each reads the store.
    peers: Endpoint | None = None


class StoreSection(NamedTuple):
    """The platform's store, and how often it is asked."""

    address: Endpoint
    call_timeout_s: Positive = 0.8
    #: How long a read of changes waits; a part of the bound on removed keys.
    change_wait_s: Positive = 2.4
    #: The least time between reads of changes: one read takes in many.
    change_pause_s: Positive = 0.25
    retry_pause_s: Positive = 0.4


class BoundsSection(NamedTuple):
    """What the platform promises and asks; no defaults, they are its own."""

    key_removal_ms: PositiveInt
    grace_s: Positive
    stall_ms: PositiveInt
    leaving_ms: PositiveInt
    config_apply_ms: PositiveInt
    retry_ratio: Ratio
    retry_slack: Positive

    @property
    def key_removal_s(self) -> float:
        """The bound on removed keys, in seconds."""
        return self.key_removal_ms / 1000

    @property
    def leaving_s(self) -> float:
        """The bound on work for a server that is leaving, in seconds."""
        return self.leaving_ms / 1000

    @property
    def config_apply_s(self) -> float:
        """The bound on a desired state to be in force, in seconds."""
        return self.config_apply_ms / 1000

    @property
    def change_s(self) -> float:
        """The bound on taking any change in, in seconds."""
        return min(self.leaving_ms, self.config_apply_ms) / 1000

    @property
    def stall_s(self) -> float:
        """After how long engines cut what depends on a dead runner, in seconds."""
        return self.stall_ms / 1000


class RouterLimitsSection(NamedTuple):
    """Bounds on what one router takes on."""

    memory_mb: PositiveInt
    descriptors: PositiveInt = 1024
    #: The rate of the machine's link: the best ones read the store for others.
    link_mbps: Positive = 1000.0
    #: The part of a processor that the process may use: as many may start at once as
    #: use all processors.
    processor_share: Positive = 1.0
    requests: PositiveInt = 400
    #: Memory for the bodies of requests and answers, in MB; 0 for what *memory_mb*
    #: leaves.
    request_memory_mb: Annotated[int, msgspec.Meta(ge=0)] = 0
    #: The largest body of a server's answer, in MB.
    answer_mb: PositiveInt = 64

    def request_memory_bytes(self, *, resting_mb: float) -> int:
        """Return the memory for requests, in bytes.

        Args:
            resting_mb: The memory of the process without requests, in MB.
        """
        if self.request_memory_mb:
            return self.request_memory_mb * _BYTES_PER_MB
        return request_budget_bytes(memory_mb=self.memory_mb, resting_mb=resting_mb)

    @property
    def max_answer_bytes(self) -> int:
        """The largest body of a server's answer, in bytes."""
        return self.answer_mb * _BYTES_PER_MB

    @property
    def most_requests(self) -> int:
        """Requests at once that the descriptors allow."""
        return min(self.requests, max(1, self._free // _DESCRIPTORS_A_REQUEST))

    @property
    def most_connections(self) -> int:
        """Callers' connections that may be open: what requests need stays free."""
        of_servers = (_DESCRIPTORS_A_REQUEST - 1) * self.most_requests
        return max(1, self._free - of_servers)

    @property
    def _free(self) -> int:
        """Descriptors beside those of the process's own."""
        return max(0, self.descriptors - _DESCRIPTORS_OF_OWN)


class AdmissionMode(enum.StrEnum):
    """Which services have their streams admitted by priority.

    .. versionadded:: 26.5.0
    """

    #: Those whose stream routes declare different priorities.
    AUTO = "auto"
    ON = "on"
    OFF = "off"


class AdmissionSection(NamedTuple):
    """How streams are admitted while runners can't take all that is asked for."""

    mode: AdmissionMode = AdmissionMode.AUTO
    #: Streams that wait for a path with room, for each service.
    queue_requests: PositiveInt = 64
    queue_kb: PositiveInt = 2048
    #: ``name=weight`` for workspaces whose weight is not 1, separated by commas.
    workspace_weights: str = ""
    #: The part of its fair share that each workspace keeps, whatever its weight.
    workspace_floor_part: Ratio = 0.5

    def governs(self, priorities: Iterable[int]) -> bool:
        """Tell whether a service is governed whose stream routes have *priorities*.

        .. versionadded:: 26.5.0
        """
        if self.mode is AdmissionMode.AUTO:
            return len(set(priorities)) > 1
        return self.mode is AdmissionMode.ON

    @property
    def weights(self) -> Mapping[str, float]:
        """The declared weights by workspace.

        Raises:
            ValueError: They can't be understood.
        """
        weights = {}
        for item in filter(None, map(str.strip, self.workspace_weights.split(","))):
            name, _, text = item.partition("=")
            weight = float(text)
            if not name.strip() or not 0 <= weight < math.inf:
                msg = f"{item}: not a name and a weight"
                raise ValueError(msg)
            weights[name.strip()] = weight
        if weights and not any(weights.values()):
            msg = "all weights are 0"
            raise ValueError(msg)
        return weights


class RouterPolicySection(NamedTuple):
    """Constants of the decisions."""

    #: The part of the bound on removed keys that a proof of the desired state
    #: may have; the rest covers the way to the backend server.
    proof_part: Ratio = 0.85
    #: The part of that bound from which on callers are sent elsewhere: the balancer
    #: takes some seconds, and calls with a key are refused soon.
    ready_part: Ratio = 0.65
    #: Silence before a stream's first event, after which it is looked into.
    first_event_limit_s: Positive = 0.25
    #: Silence within a stream, after which it is looked into at the latest.
    gap_limit_s: Positive = 0.4
    #: How long a silent stream waits for runners' reports before it goes around
    #: those that have given none.
    probe_limit_s: Positive = 0.04
    #: Silence after which a stream is taken up elsewhere in any case.
    silence_limit_s: Positive = 1.5
    #: Retries that an instance saves up that is told of no other.
    retry_reserve: Annotated[float, msgspec.Meta(ge=1)] = 4.0
    #: Part of the shared retry slack that all instances save up together.  A half: all
    #: of them may start again, with new parts, within the bound's window.
    retry_slack_part: Ratio = 0.5
    #: Part of the shared retry ratio that an instance uses itself.  A half: what was
    #: earned before the window may be given and used within it.
    retry_part: Ratio = 0.5
    lease_duration_s: Positive = 4.0
    lease_margin_s: Positive = 1.5


class RouterSettings(NamedTuple):
    """All sections of a router's settings file.

    .. versionadded:: 26.1.0
    """

    instance: InstanceSection
    listen: RouterListenSection
    store: StoreSection
    bounds: BoundsSection
    limits: RouterLimitsSection
    policy: RouterPolicySection
    admission: AdmissionSection = AdmissionSection()

    @property
    def proof_limit_s(self) -> float:
        """How old the proof of the desired state may be, in seconds."""
        return self.bounds.key_removal_s * self.policy.proof_part

    @property
    def refusal_limit_s(self) -> float:
        """How old that proof may be for a route or a key to count as missing."""
        return min(self.proof_limit_s, self.bounds.config_apply_s)

    @property
    def ready_limit_s(self) -> float:
        """How old that proof may be while callers are sent here, in seconds."""
        return self.bounds.key_removal_s * self.policy.ready_part


def load_router_settings(path: str | pathlib.Path) -> RouterSettings:
    """Read and validate a router's settings file.

    Raises:
        SettingsError: Names the file, the section and the key.

    .. versionadded:: 26.1.0
    """
    return parse_router_settings(read_settings_text(path), name=str(path))


def parse_router_settings(text: str, *, name: str = "<settings>") -> RouterSettings:
    """Validate the text of a router's settings file.

    Raises:
        SettingsError: Names the file, the section and the key.

    .. versionadded:: 26.1.0
    """
    settings = parse_sections(text, RouterSettings, name=name)
    check_lease_times(settings.policy, name=name)
    if settings.store.change_wait_s >= settings.proof_limit_s:
        msg = f"{name}: [store] change_wait_s: must be below the proof's age limit"
        raise SettingsError(msg)
    if settings.limits.request_memory_mb >= settings.limits.memory_mb:
        msg = f"{name}: [limits] request_memory_mb: must be below memory_mb"
        raise SettingsError(msg)
    try:
        _ = settings.admission.weights
    except ValueError as error:
        msg = f"{name}: [admission] workspace_weights: {error}"
        raise SettingsError(msg) from error
    return settings
