# SPDX-License-Identifier: MIT
"""Labels, epochs and retained inputs of attempts."""

from __future__ import annotations

import pytest

from violethatch import Attempt
from violethatch.attempts import RetainedInputPool


def two_stages(*, limit_bytes=100):
    """Return an attempt whose first stage has run the prompt."""
    attempt = Attempt(stage_count=2, pool=RetainedInputPool(limit_bytes))
    attempt.advance()
    attempt.note_input(b"abc")
    return attempt


class TestAttempt:
    def test_accepts_only_the_expected_label(self):
        """Results of another epoch or position are rejected."""
        attempt = Attempt(stage_count=1)
        assert attempt.accepts(epoch=1, position=0)
        assert not attempt.accepts(epoch=2, position=0)
        assert not attempt.accepts(epoch=1, position=1)

    def test_replacement_invalidates_earlier_results(self):
        """After a replacement results of the old epoch are rejected."""
        attempt = two_stages()
        attempt.replace_stage()
        assert not attempt.accepts(epoch=1, position=0)
        assert attempt.accepts(epoch=2, position=0)

    def test_replacement_expects_position_zero(self):
        """A rebuilt stage responds from position zero, then at the current one."""
        attempt = two_stages()
        attempt.complete(7, count=3)
        attempt.advance()
        attempt.note_input(b"d")
        attempt.replace_stage()
        assert attempt.stage_inputs() == [b"abc", b"d"]
        assert attempt.accepts(epoch=2, position=0)
        attempt.rebuilt()
        assert attempt.accepts(epoch=2, position=3)

    def test_inputs_over_the_limit_are_dropped(self):
        """Beyond the limit a stage can't be replaced in place."""
        attempt = two_stages(limit_bytes=2)
        assert not attempt.retains
        with pytest.raises(ValueError, match="not retained"):
            attempt.replace_stage()

    def test_memory_is_released(self):
        """A request that finishes, restarts or overflows leaves the pool empty."""
        pool = RetainedInputPool(5)
        first = Attempt(stage_count=2, pool=pool)
        first.advance()
        first.note_input(b"abc")
        second = Attempt(stage_count=2, pool=pool)
        second.advance()
        second.note_input(b"ab")
        second.note_input(b"c")
        assert (second.retains, pool.used_bytes) == (False, 3)
        first.restart(stage_count=2)
        assert (first.retains, pool.used_bytes) == (True, 0)

    def test_restart_keeps_the_tokens(self):
        """A new route starts at position zero with the generated tokens."""
        attempt = two_stages()
        attempt.complete(7, count=3)
        attempt.restart(stage_count=3)
        assert (attempt.epoch, attempt.position, attempt.tokens) == (2, 0, [7])
        assert attempt.retains

    def test_last_stage_completes_a_token(self):
        """Advancing past the last stage or completing before it is an error."""
        attempt = Attempt(stage_count=2)
        with pytest.raises(ValueError, match="not the last"):
            attempt.complete(1, count=1)
        attempt.advance()
        with pytest.raises(ValueError, match="completes a token"):
            attempt.advance()
