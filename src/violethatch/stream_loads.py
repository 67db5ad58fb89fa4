# SPDX-License-Identifier: MIT
"""How full runners are, as far as one instance can tell without asking.

An instance knows its own streams exactly.  How many all instances have at a
first runner comes with that runner's answers, for nothing; the ratio of the
two, learnt over time, scales the own streams on all other runners.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import collections

from typing import NamedTuple

from .backends import BackendServer
from .engine_model import EngineSpec
from .paths import LayerMap, Path, Stage
from .upstream import ServerLoad


#: How fast the ratio follows what runners tell, per answer.
_RATIO_GAIN = 0.05
#: How many words make an estimate: the gain's inverse, doubled.
_WORDS_TO_LEARN = 40
#: The most instances that the ratio can stand for.
_MOST_RATIO = 400.0
#: Over how long crossings between zones are counted, in seconds.
_PIPE_SPAN_S = 2.0
_MS_PER_S = 1000.0
#: Below this a runner's tokens times layers are what rounding has left over.
_ROUNDING = 1e-6
#: How long a first runner's word counts, in seconds; some requests' time.
_TOLD_LIFE_S = 2.0


class _Told(NamedTuple):
    """A first runner's word on its load, and when it came."""

    load: ServerLoad
    told_s: float


class StreamLoads:
    """One instance's view of the streams on runners.

    .. versionadded:: 26.1.0
    """

    def __init__(self) -> None:
        self._own_token_layers: dict[str, float] = {}
        self._own_by_first: dict[str, int] = {}
        self._crossings: collections.deque[float] = collections.deque()
        self._told_by_first: dict[str, _Told] = {}
        self._words = 0
        self._told_sum = 1.0
        self._own_sum = 1.0

    @property
    def ratio(self) -> float:
        """All instances' streams for each of one's own."""
        return max(1.0, min(_MOST_RATIO, self._told_sum / self._own_sum))

    @property
    def instances(self) -> float | None:
        """About how many instances serve, or None while that is not learnt."""
        return self.ratio if self._words >= _WORDS_TO_LEARN else None

    def started(self, path: Path, tokens: float, *, now_s: float) -> None:
        """Count a stream in on each runner of its path."""
        self._crossings.extend([now_s] * path.crossings)
        first_id = path.first.id
        self._own_by_first[first_id] = self._own_by_first.get(first_id, 0) + 1
        for stage in path.stages:
            self._add(stage, tokens)

    def ended(self, path: Path, tokens: float) -> None:
        """Count a stream out again."""
        first_id = path.first.id
        own = self._own_by_first.get(first_id, 0) - 1
        if own > 0:
            self._own_by_first[first_id] = own
        else:
            self._own_by_first.pop(first_id, None)
        for stage in path.stages:
            self._add(stage, -tokens)

    def told(self, first_id: str, load: ServerLoad, *, now_s: float) -> None:
        """Take in a first runner's word on the streams it has from all."""
        self._told_by_first[first_id] = _Told(load, now_s)
        own = self._own_by_first.get(first_id, 0)
        if own:
            self._words += 1
            told = load.running + load.waiting
            self._told_sum += _RATIO_GAIN * (told - self._told_sum)
            self._own_sum += _RATIO_GAIN * (own - self._own_sum)

    def fullness_of(self, layer_map: LayerMap, *, now_s: float) -> dict[str, float]:
        """Return, by runner that anything is known of, how full it is."""
        known = self._own_token_layers.keys() | self._told_by_first.keys()
        return {
            server_id: self.fullness(
                layer_map.holders[server_id], layer_map.engine, now_s=now_s
            )
            for server_id in known
            if server_id in layer_map.holders
        }

    def fullness(
        self, server: BackendServer, engine: EngineSpec, *, now_s: float
    ) -> float:
        """Return the part of a runner's room that is thought to be taken.

        Its room is its KV cache, and its slots where it was told of them.
        """
        slots_taken = self._slots_taken(server, now_s=now_s)
        kv_cache_taken = self._kv_cache_taken(server, engine)
        if kv_cache_taken is None:
            return slots_taken
        return max(slots_taken, kv_cache_taken)

    def forget(self, server_id: str) -> None:
        """Forget a runner that is no longer listed."""
        self._told_by_first.pop(server_id, None)

    def pipe_fullness(self, engine: EngineSpec, *, now_s: float) -> float:
        """Return the part of the time that the pipe between zones is taken."""
        while self._crossings and now_s - self._crossings[0] > _PIPE_SPAN_S:
            self._crossings.popleft()
        own_ms = len(self._crossings) * engine.crossing_ms
        return own_ms * self.ratio / (_PIPE_SPAN_S * _MS_PER_S)

    def _slots_taken(self, server: BackendServer, *, now_s: float) -> float:
        """Return the part of a runner's slots that it told of as taken."""
        told = self._told_by_first.get(server.id)
        if told is None or now_s - told.told_s >= _TOLD_LIFE_S:
            return 0.0
        load = told.load
        return (load.running + load.waiting) / max(1, load.slots)

    def _kv_cache_taken(
        self, server: BackendServer, engine: EngineSpec
    ) -> float | None:
        """Return the part of a runner's KV cache that is taken; None if unknown."""
        own = self._own_token_layers.get(server.id, 0.0)
        kind = engine.kinds.get(server.kind)
        if not own or server.layers is None or kind is None:
            return None
        size = server.layers.size
        room = engine.kv_tokens(kind, size) * size
        return own * self.ratio / max(room, 1.0)

    def _add(self, stage: Stage, tokens: float) -> None:
        """Add to a runner's tokens times layers."""
        added = tokens * stage.layers.size
        own = self._own_token_layers.get(stage.server.id, 0.0) + added
        if own > _ROUNDING:
            self._own_token_layers[stage.server.id] = own
        else:
            self._own_token_layers.pop(stage.server.id, None)
