# SPDX-License-Identifier: MIT
"""The state of one request on its way through the layers.

An `Attempt` decides, without any I/O, which step each stage may be given and
which result may be taken.  It is what keeps the promise that every layer runs
exactly once for each token, in order: a result counts only if its label
(epoch, position) is the one that is waited for, and replacing a stage starts
a new epoch, so that whatever the old stage still answers is dropped.

.. versionadded:: 26.1.0
"""

from __future__ import annotations


class RetainedInputPool:
    """Bounds the stage inputs that all requests of a process keep.

    Args:
        limit_bytes: The most bytes to keep.

    .. versionadded:: 26.1.0
    """

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def take(self, size_bytes: int) -> bool:
        """Take room for an input; tell whether there was any."""
        if self.used_bytes + size_bytes > self.limit_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Return room."""
        self.used_bytes -= size_bytes


class Attempt:
    """Progress of one request over a route.

    Args:
        stage_count: How many stages the route has.
        pool: Where the stage inputs are counted that are kept so that a stage
            can be replaced without running the earlier ones again.

    .. versionadded:: 26.1.0
    """

    __slots__ = (
        "_pool",
        "_retained",
        "_retained_bytes",
        "epoch",
        "position",
        "rebuilding",
        "stage",
        "stage_count",
        "tokens",
    )

    def __init__(
        self, *, stage_count: int, pool: RetainedInputPool | None = None
    ) -> None:
        if stage_count < 1:
            msg = f"stage_count must be at least 1, not {stage_count}"
            raise ValueError(msg)
        self.stage_count = stage_count
        #: Grows with each replacement; results of lower ones are dropped.
        self.epoch = 1
        #: The first position that no stage sequence has completed yet.
        self.position = 0
        #: The stage whose result is waited for.
        self.stage = 0
        #: The stage that is being filled with earlier positions, if any.
        self.rebuilding = False
        self.tokens: list[int] = []
        self._pool = pool or RetainedInputPool(0)
        self._retained: list[list[bytes]] | None = [[] for _ in range(stage_count)]
        self._retained_bytes = 0

    @property
    def retains(self) -> bool:
        """Whether a stage's earlier inputs are all at hand."""
        return self._retained is not None

    def accepts(self, *, epoch: int, position: int) -> bool:
        """Tell whether a result with this label is the one waited for."""
        expected = 0 if self.rebuilding else self.position
        return epoch == self.epoch and position == expected

    def note_input(self, payload: bytes) -> None:
        """Keep the current stage's input, if the pool has room for it.

        The first stage's inputs are the prompt and the tokens, which are kept
        anyway.
        """
        if self._retained is None or self.stage == 0:
            return
        if not self._pool.take(len(payload)):
            self.release()
            return
        self._retained_bytes += len(payload)
        self._retained[self.stage].append(payload)

    def advance(self) -> None:
        """Take the current stage's result; go on to the next stage.

        Raises:
            ValueError: The current stage is the last one; see `complete`.
        """
        if self.stage + 1 >= self.stage_count:
            msg = "the last stage's result completes a token"
            raise ValueError(msg)
        self.stage += 1

    def complete(self, token: int, *, count: int) -> None:
        """Take the last stage's result: a token, after *count* positions."""
        if self.stage != self.stage_count - 1:
            msg = f"stage {self.stage} is not the last of {self.stage_count}"
            raise ValueError(msg)
        self.tokens.append(token)
        self.position += count
        self.stage = 0

    def replace_stage(self) -> None:
        """Start a new epoch with another runner for the current stage.

        The new runner has to be given `stage_inputs` at once.

        Raises:
            ValueError: The inputs were not retained; see `restart`.
        """
        if self._retained is None:
            msg = "stage inputs were not retained"
            raise ValueError(msg)
        self.epoch += 1
        self.rebuilding = True

    def move_stage(self) -> None:
        """Start a new epoch: a stage's cache goes to another runner.

        Nothing has to be run again.
        """
        self.epoch += 1

    def stage_inputs(self) -> list[bytes]:
        """Return the current stage's inputs since position zero, in order.

        The current position's input is the last of them.

        Raises:
            ValueError: The inputs were not retained.
        """
        if self._retained is None:
            msg = "stage inputs were not retained"
            raise ValueError(msg)
        return self._retained[self.stage]

    def rebuilt(self) -> None:
        """Note that the replaced stage has caught up."""
        self.rebuilding = False

    def restart(self, *, stage_count: int) -> None:
        """Start a new epoch over a new route; the tokens so far stand.

        Every stage is given the prompt and the tokens so far, from position
        zero.
        """
        self.epoch += 1
        self.stage_count = stage_count
        self.stage = 0
        self.position = 0
        self.rebuilding = False
        self.release()
        self._retained = [[] for _ in range(stage_count)]

    def release(self) -> None:
        """Keep no inputs any more, and give their room back."""
        self._pool.give_back(self._retained_bytes)
        self._retained_bytes = 0
        self._retained = None
