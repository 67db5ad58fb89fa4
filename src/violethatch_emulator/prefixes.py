# SPDX-License-Identifier: MIT
"""A stand-in engine's cache of prompt prefixes, in limited memory.

A prompt's inputs are cut into blocks; a block is known by the hash of itself
and all before it, so two prompts share as many blocks as their common prefix
has.  What is cached costs no prefill time.  Changes are published late, and
some are left out.
"""

from __future__ import annotations

import collections
import hashlib

from collections.abc import Sequence

from violethatch import wire


BLOCK_POSITIONS = 16
_ID_BYTES = 4
#: Of so many reports one is never sent.
_GAP_EVERY = 10


class PrefixCache:
    """Least recently used blocks go first.

    Args:
        limit_blocks: The most blocks to keep.
    """

    def __init__(self, limit_blocks: int) -> None:
        self._limit_blocks = limit_blocks
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._added: list[int] = []
        self._removed: list[int] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def take(self, inputs: Sequence[bytes]) -> int:
        """Note a prompt's inputs; return how many positions were cached."""
        hits = 0
        is_prefix = True
        for block in _block_ids(inputs):
            is_prefix = is_prefix and block in self._blocks
            hits += is_prefix
            self._touch(block)
        return hits * BLOCK_POSITIONS

    def report(self) -> wire.CacheReport | None:
        """Return what changed since the last report; None to leave a gap."""
        if not self._added and not self._removed:
            return None
        self._sequence += 1
        report = wire.CacheReport(self._sequence, self._added, self._removed)
        self._added, self._removed = [], []
        return None if self._sequence % _GAP_EVERY == 0 else report

    def _touch(self, block: int) -> None:
        if block not in self._blocks:
            self._added.append(block)
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        if len(self._blocks) > self._limit_blocks:
            oldest, _ = self._blocks.popitem(last=False)
            self._removed.append(oldest)


def _block_ids(inputs: Sequence[bytes]) -> list[int]:
    """Return the ids of the whole blocks of a prompt's inputs."""
    digest = hashlib.blake2b(digest_size=_ID_BYTES)
    ids = []
    for position, item in enumerate(inputs, start=1):
        digest.update(item)
        if position % BLOCK_POSITIONS == 0:
            ids.append(int.from_bytes(digest.digest(), "big"))
    return ids
