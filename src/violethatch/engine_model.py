# SPDX-License-Identifier: MIT
"""What a model engine's work takes, by the formula that the engine states.

All times follow the share of the model's layers that a runner works on and
the runner's accelerator kind.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


#: The time that a hop within a zone costs each token, in ms (twice the one-way
#: delay of 0.1 ms that the sites state).
HOP_MS = 0.2
_BYTES_PER_MB = 1e6
_BITS_PER_MBIT = 1e6
_PER_K = 1e-3
_PER_M = 1e-6


class AcceleratorKind(NamedTuple):
    """A kind of accelerator.

    Attributes:
        memory_mb: What layers and KV cache share.
        step_factor: How much longer steps take than the engine states.
        prefill_factor: How much longer reading prompts takes.
    """

    memory_mb: float
    step_factor: float
    prefill_factor: float


class EngineSpec(NamedTuple):
    """What a service's engine states of itself.

    .. versionadded:: 26.1.0
    """

    slots: int
    layer_count: int
    layer_mb: float
    kv_token_bytes: float
    step_ms: float
    per_sequence_ms: float
    context_per_k_ms: float
    prefill_tokens_per_s: float
    attention_ms_per_m_pairs: float
    chunk_tokens: int
    usual_prompt_tokens: float
    usual_answer_tokens: float
    load_s: float
    kinds: Mapping[str, AcceleratorKind]
    zone_delay_ms: Mapping[tuple[str, str], float]
    activation_bytes: float
    zone_link_mbps: float
    #: Tokens that one pass makes, and that come in one event.
    tokens_per_step: float = 1.0
    #: Loads that the store of weights serves at full rate; 0 where that is not stated.
    max_concurrent_loads: int = 0

    def expected_load_s(self, layers: int) -> float:
        """Return how long some layers take to load at full rate, in seconds."""
        return self.load_s * layers / self.layer_count

    @property
    def zone_transfer_ms(self) -> float:
        """How long a usual prompt takes up the pipe between zones, in ms."""
        if self.zone_link_mbps <= 0:
            return 0.0
        bits = self.usual_prompt_tokens * self.activation_bytes * 8
        return bits / (self.zone_link_mbps * _BITS_PER_MBIT) / _PER_K

    @property
    def kv_layer_token_mb(self) -> float:
        """Memory of one token's KV cache in one layer, in MB."""
        return self.kv_token_bytes / self.layer_count / _BYTES_PER_MB

    @property
    def usual_tokens(self) -> float:
        """Tokens that a usual request ends up with."""
        return self.usual_prompt_tokens + self.usual_answer_tokens

    def step_time_ms(
        self, kind: AcceleratorKind, layers: int, *, batch_size: float = 1.0
    ) -> float:
        """Return how long a step over some layers takes, in ms.

        Args:
            kind: The runner's accelerators.
            layers: How many layers the step runs.
            batch_size: Requests that take part in it.
        """
        context_ms = self.usual_tokens * _PER_K * self.context_per_k_ms
        whole_ms = self.step_ms + batch_size * (self.per_sequence_ms + context_ms)
        return whole_ms * kind.step_factor * layers / self.layer_count

    def prefill_ms(self, kind: AcceleratorKind, layers: int, tokens: float) -> float:
        """Return how long reading a prompt over some layers takes, in ms."""
        pairs_ms = tokens * tokens * _PER_M * self.attention_ms_per_m_pairs
        whole_ms = tokens / self.prefill_tokens_per_s / _PER_K + pairs_ms
        return whole_ms * kind.prefill_factor * layers / self.layer_count

    def usual_prefill_ms(self, kind: AcceleratorKind, layers: int) -> float:
        """Return how long reading a usual prompt over some layers takes, in ms."""
        return self.prefill_ms(kind, layers, self.usual_prompt_tokens)

    def kv_capacity_tokens(self, kind: AcceleratorKind, layers: int) -> float:
        """Return the tokens whose KV cache fits beside so many layers."""
        left_mb = kind.memory_mb - layers * self.layer_mb
        return max(0.0, left_mb) / (layers * self.kv_layer_token_mb)

    def max_layers(self, kind: AcceleratorKind, *, kv_tokens: float) -> int:
        """Return how many layers fit beside the KV cache of so many tokens."""
        per_layer_mb = self.layer_mb + kv_tokens * self.kv_layer_token_mb
        return min(self.layer_count, int(kind.memory_mb / per_layer_mb))

    def delay_ms(self, zone: str, other: str) -> float:
        """Return the delay between two zones, in ms; zero within one."""
        if zone == other:
            return 0.0
        known = self.zone_delay_ms.get((zone, other))
        return known if known is not None else self.zone_delay_ms.get((other, zone), 0)
