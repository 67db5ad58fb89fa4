# SPDX-License-Identifier: MIT
"""Protocol state of one request on its way through the layers.

An `Attempt` decides, without any I/O, the next step of each stage and which results
are accepted.  It ensures that every layer runs exactly once for each token, in order:
a result is accepted only if its label (epoch, position) is the expected one, and
replacing a stage starts a new epoch, so that later results of the old stage are
dropped.

.. versionadded:: 26.1.0
"""

from __future__ import annotations


class RetainedInputPool:
    """Limits the memory of retained stage inputs of all requests of a process.

    Args:
        limit_bytes: The max size of the retained inputs, in bytes.

    .. versionadded:: 26.1.0
    """

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory for an input; return False if the limit is reached."""
        if self.used_bytes + size_bytes > self.limit_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release reserved memory."""
        self.used_bytes -= size_bytes


class Attempt:
    """Progress of one request over a route.

    Args:
        stage_count: The number of stages of the route.
        pool: Accounts for the retained stage inputs, with which a stage can be
            replaced without running the earlier ones again.

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
        #: Incremented by each replacement; results of earlier epochs are dropped.
        self.epoch = 1
        #: The first position that has not passed all stages yet.
        self.position = 0
        #: The stage whose result is expected.
        self.stage = 0
        #: Whether a replaced stage is processing earlier positions.
        self.rebuilding = False
        self.tokens: list[int] = []
        self._pool = pool or RetainedInputPool(0)
        self._retained: list[list[bytes]] | None = [[] for _ in range(stage_count)]
        self._retained_bytes = 0

    @property
    def retains(self) -> bool:
        """Whether all earlier stage inputs are retained."""
        return self._retained is not None

    def accepts(self, *, epoch: int, position: int) -> bool:
        """Return whether a result with this label is the expected one."""
        expected = 0 if self.rebuilding else self.position
        return epoch == self.epoch and position == expected

    def note_input(self, payload: bytes) -> None:
        """Retain the current stage's input, within the limit of the pool.

        Inputs of the first stage are the prompt and the tokens, which are stored
        anyway.
        """
        if self._retained is None or self.stage == 0:
            return
        if not self._pool.reserve(len(payload)):
            self.release()
            return
        self._retained_bytes += len(payload)
        self._retained[self.stage].append(payload)

    def advance(self) -> None:
        """Accept the current stage's result and advance to the next stage.

        Raises:
            ValueError: The current stage is the last one; see `complete`.
        """
        if self.stage + 1 >= self.stage_count:
            msg = "the last stage's result completes a token"
            raise ValueError(msg)
        self.stage += 1

    def complete(self, token: int, *, count: int) -> None:
        """Accept the last stage's result: a token, after *count* positions."""
        if self.stage != self.stage_count - 1:
            msg = f"stage {self.stage} is not the last of {self.stage_count}"
            raise ValueError(msg)
        self.tokens.append(token)
        self.position += count
        self.stage = 0

    def replace_stage(self) -> None:
        """Start a new epoch with another runner for the current stage.

        The caller has to send `stage_inputs` to the new runner next.

        Raises:
            ValueError: The inputs were not retained; see `restart`.
        """
        if self._retained is None:
            msg = "stage inputs were not retained"
            raise ValueError(msg)
        self.epoch += 1
        self.rebuilding = True

    def move_stage(self) -> None:
        """Start a new epoch after a stage's cache was moved to another runner.

        No step has to be repeated.
        """
        self.epoch += 1

    def stage_inputs(self) -> list[bytes]:
        """Return the current stage's inputs since position zero, in order.

        The last one is the input of the current position.

        Raises:
            ValueError: The inputs were not retained.
        """
        if self._retained is None:
            msg = "stage inputs were not retained"
            raise ValueError(msg)
        return self._retained[self.stage]

    def rebuilt(self) -> None:
        """Mark the replaced stage as up to date."""
        self.rebuilding = False

    def restart(self, *, stage_count: int) -> None:
        """Start a new epoch over a new route, keeping the generated tokens.

        Every stage has to process the prompt and these tokens again, from position
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
        """Drop the retained inputs and release their memory."""
        self._pool.release(self._retained_bytes)
        self._retained_bytes = 0
        self._retained = None
