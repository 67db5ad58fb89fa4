# SPDX-License-Identifier: MIT
"""The stand-in engine's prefix cache."""

from __future__ import annotations

from violethatch_emulator.prefixes import BLOCK_POSITIONS, PrefixCache


def prompt(*words):
    """Return inputs: each word for a whole block."""
    return [word.encode() for word in words for _ in range(BLOCK_POSITIONS)]


class TestPrefixCache:
    def test_common_prefix_is_cached(self):
        """Two prompts share the blocks up to their first difference."""
        cache = PrefixCache(100)
        assert cache.take(prompt("a", "b", "c")) == 0
        assert cache.take(prompt("a", "b", "x", "c")) == 2 * BLOCK_POSITIONS

    def test_memory_is_limited(self):
        """The least recently used blocks go."""
        cache = PrefixCache(2)
        cache.take(prompt("a"))
        cache.take(prompt("b"))
        cache.take(prompt("c"))
        assert len(cache) == 2
        assert cache.take(prompt("a")) == 0

    def test_reports_have_gaps(self):
        """Each tenth report is left out, and the sequence shows it."""
        cache = PrefixCache(100)
        sequences = []
        for number in range(12):
            cache.take(prompt(str(number)))
            report = cache.report()
            if report is not None:
                sequences.append(report.sequence)
        assert sequences == [*range(1, 10), 11, 12]
        assert cache.report() is None
