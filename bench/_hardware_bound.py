# SPDX-License-Identifier: MIT
"""What accelerators could serve at the most, whatever the router does.

An upper bound by the engine's own formula, from two sides.  Time: each usual request
needs its prompt read and its tokens written over all layers, and each card has so much
time a second, with batches as large as slots allow.  Memory: beside one copy of the
model there is room for so many usual requests at once, and each stays at least as long
as it takes over the quickest cards.  Pipes between zones bound nothing here, since a
path may stay within a zone.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from violethatch.engine_model import AcceleratorKind, EngineSpec


_MS_PER_S = 1000.0


class HardwareBound(NamedTuple):
    """The most usual requests a second, by what bounds them."""

    by_time_per_s: float
    by_memory_per_s: float

    @property
    def requests_per_s(self) -> float:
        """The bound that is met first."""
        return min(self.by_time_per_s, self.by_memory_per_s)


def hardware_bound(counts: Mapping[str, int], engine: EngineSpec) -> HardwareBound:
    """Return what cards could serve at the most.

    Args:
        counts: By kind, how many cards there are.
        engine: The engine's figures.
    """
    by_time = sum(
        count * _MS_PER_S / _least_work_ms(engine.kinds[kind], engine)
        for kind, count in counts.items()
    )
    return HardwareBound(by_time, _by_memory(counts, engine))


def _least_work_ms(kind: AcceleratorKind, engine: EngineSpec) -> float:
    """Return a card's time for a usual request over all layers, in full batches."""
    batch = float(engine.slots)
    step_ms = engine.step_time_ms(kind, engine.layer_count, batch_size=batch) / batch
    read_ms = engine.usual_prefill_ms(kind, engine.layer_count)
    return engine.usual_answer_tokens * step_ms + read_ms


def _by_memory(counts: Mapping[str, int], engine: EngineSpec) -> float:
    """Return the requests a second that memory has room for."""
    memory_mb = sum(n * engine.kinds[kind].memory_mb for kind, n in counts.items())
    model_mb = engine.layer_count * engine.layer_mb
    request_mb = engine.usual_tokens * engine.layer_count * engine.kv_layer_token_mb
    at_once = max(0.0, memory_mb - model_mb) / request_mb
    return at_once * _MS_PER_S / _least_stay_ms(counts, engine)


def _least_stay_ms(counts: Mapping[str, int], engine: EngineSpec) -> float:
    """Return how long a usual request takes over the quickest cards, alone, in ms."""
    left = float(engine.layer_count)
    stay_ms = 0.0
    for kind, count in sorted(
        counts.items(), key=lambda one: engine.kinds[one[0]].step_factor
    ):
        card = engine.kinds[kind]
        layers = min(left, count * (card.memory_mb / engine.layer_mb))
        part = layers / engine.layer_count
        whole_ms = engine.usual_answer_tokens * engine.step_time_ms(
            card, engine.layer_count
        ) + engine.usual_prefill_ms(card, engine.layer_count)
        stay_ms += part * whole_ms
        left -= layers
    return stay_ms if left <= 0 else float("inf")
