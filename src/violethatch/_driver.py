# SPDX-License-Identifier: MIT
"""Driving a request through the layers, token by token.

The instance carries each step's hidden states from stage to stage.  When a
stage fails it is replaced in place: another runner with the same layers is
given the stage's inputs so far in one step, and the request goes on at the
same position.  Where that can't be done, the prompt and the tokens so far are
given to a new route.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator, Sequence
from typing import NamedTuple

from . import clocks, events, wire
from ._engine_link import EngineLink, StageFailedError
from ._fleet import Fleet
from ._metrics import Metrics
from .attempts import Attempt, RetainedInputPool
from .errors import DeadlineError, NoRouteError, PipelineFailedError, Ran
from .layers import LayerRange, tiles
from .retries import RetryBudget
from .routes import Candidate


#: When to come back after an error that may soon be over, in seconds.
RETRY_AFTER_S = 1.0
#: How long a cache's export or import may take, in seconds.
_MOVE_TIMEOUT_S = 2.0


class Generation(NamedTuple):
    """What a caller wants generated.

    Attributes:
        request_id: Labels the request on all its steps.
        model: The model's name.
        version: The version in force when the request was admitted; it does
            not change within the request.
        layer_count: The model's number of layers.
        prompt: The prompt.
        max_tokens: The most tokens to generate.
        priority: Higher goes first.
        deadline_s: When to give up, in monotonic seconds.
    """

    request_id: str
    model: str
    version: str
    layer_count: int
    prompt: str
    max_tokens: int
    priority: int
    deadline_s: float


class Piece(NamedTuple):
    """A token of the answer."""

    token: int
    text: str
    end: bool


class _Input(NamedTuple):
    """What the current stage is given."""

    kind: wire.PayloadKind
    positions: int
    payload: bytes


class Driver:
    """Runs generations over a fleet.

    Args:
        fleet: The runners.
        budget: Limits the replacements.
        metrics: Where to count.
        recovery: ``in_place``, ``new_route`` or ``restart``; the latter two
            are the baselines that the first is measured against.
        recovery_wait_s: How long to look for a replacement, in seconds.
        retained: Bounds the stage inputs that are kept.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        budget: RetryBudget,
        metrics: Metrics,
        recovery: str,
        recovery_wait_s: float,
        retained: RetainedInputPool,
    ) -> None:
        self._fleet = fleet
        self._budget = budget
        self._metrics = metrics
        self._recovery = recovery
        self._recovery_wait_s = recovery_wait_s
        self._retained = retained

    async def generate(self, job: Generation) -> AsyncGenerator[Piece, None]:
        """Yield the answer's pieces as they come.

        Raises:
            NoRouteError: No route; nothing was run.
            PipelineFailedError: A stage failed and could not be replaced.
            DeadlineError: The deadline passed.
        """
        run = _Run(self._fleet, job, retained=self._retained)
        run.start()
        try:
            for _ in range(job.max_tokens):
                piece = await self._next_piece(run)
                self._metrics.tokens.inc({"model": job.model})
                yield piece
                if piece.end:
                    break
            self._budget.deposit()
        finally:
            run.close()

    async def _next_piece(self, run: _Run) -> Piece:
        """Return the next piece that the caller has not got yet."""
        if self._fleet.marks and await run.leave_runners():
            self._metrics.replacements.inc({"how": "moved"})
        while True:
            try:
                piece = await run.next_piece()
            except StageFailedError as failure:
                await self._recover(run, failure)
                continue
            if run.tokens_to_skip == 0:
                return piece
            run.tokens_to_skip -= 1

    async def _recover(self, run: _Run, failure: StageFailedError) -> None:
        """Put the request back on its way after a stage has failed.

        Raises:
            PipelineFailedError: No budget, or no replacement in time.
        """
        if failure.refusal == wire.Refusal.LEAVING:
            self._fleet.record_leaving_refusal(failure.runner_id)
        run.excluded.add(failure.runner_id)
        if not self._budget.withdraw():
            msg = f"{failure}; the retry budget is used up"
            raise run.failed(msg)
        give_up_s = clocks.now_s() + self._recovery_wait_s
        while True:
            if self._put_back(run):
                return
            wait_s = min(give_up_s, run.job.deadline_s) - clocks.now_s()
            if wait_s <= 0:
                msg = f"{failure}; no replacement was found"
                raise run.failed(msg)
            await self._fleet.wait_changed(wait_s)

    def _put_back(self, run: _Run) -> bool:
        """Replace the stage or the route; tell whether that was possible."""
        if self._recovery == "in_place" and run.replace_stage():
            self._metrics.replacements.inc({"how": "in_place"})
            return True
        if self._recovery == "restart":
            run.forget_tokens()
        if run.replace_route():
            self._metrics.replacements.inc({"how": self._recovery})
            return True
        return False


class _Run:
    """One generation in progress."""

    def __init__(
        self, fleet: Fleet, job: Generation, *, retained: RetainedInputPool
    ) -> None:
        self.job = job
        self.excluded: set[str] = set()
        self.tokens_to_skip = 0
        #: Leaving runners that a stage could not be moved off.
        self._kept: set[str] = set()
        self._fleet = fleet
        self._links: list[EngineLink] = []
        self._layers: list[LayerRange] = []
        self._attempt = Attempt(stage_count=1, pool=retained)
        self._input = _Input(wire.PayloadKind.TOKENS, 0, b"")
        self._has_submitted = False

    def start(self) -> None:
        """Take a route.

        Raises:
            NoRouteError: There is none.
        """
        if not self.replace_route():
            job = self.job
            msg = f"model {job.model} version {job.version}: layers not covered"
            raise NoRouteError(msg, retry_after_s=RETRY_AFTER_S)

    def close(self) -> None:
        """Let go of all stages."""
        self._attempt.release()
        for link in self._links:
            self._fleet.close(link, self.job.request_id, self._attempt.epoch)
        self._links = []

    def failed(self, reason: str) -> PipelineFailedError:
        """Return the error that ends this generation."""
        ran = Ran.MAYBE if self._has_submitted else Ran.NO
        return PipelineFailedError(reason, ran=ran, retry_after_s=RETRY_AFTER_S)

    async def next_piece(self) -> Piece:
        """Carry the current position through the remaining stages.

        Raises:
            StageFailedError: A stage failed; the run stays where it is.
            DeadlineError: The deadline passed.
        """
        attempt = self._attempt
        while True:
            result = await self._run_stage()
            count = result.positions
            if attempt.position > 0:
                count = self._input.positions
            if attempt.stage == attempt.stage_count - 1:
                return self._complete(result, count)
            payload = result.payload
            if attempt.rebuilding:
                payload = _last_positions(payload, result.positions, count)
                attempt.rebuilt()
            attempt.advance()
            attempt.note_input(payload)
            self._input = _Input(wire.PayloadKind.HIDDEN, count, payload)

    def replace_stage(self) -> bool:
        """Give the current stage to another runner; tell whether one is there."""
        attempt = self._attempt
        if not attempt.retains:
            return False
        stage = attempt.stage
        replacement = self._find_replacement(stage)
        if replacement is None:
            return False
        old = self._links[stage]
        old_epoch = attempt.epoch
        attempt.replace_stage()
        self._links[stage] = self._fleet.open(replacement.runner_id)
        self._fleet.close(old, self.job.request_id, old_epoch)
        events.log(
            events.STAGE_REPLACED,
            request=self.job.request_id,
            stage=stage,
            position=attempt.position,
            old=old.runner_id,
            new=replacement.runner_id,
        )
        return True

    async def leave_runners(self) -> bool:
        """Move stages off runners that are leaving; tell whether any moved.

        Called between tokens, when no step is under way.
        """
        has_moved = False
        for stage, link in enumerate(self._links):
            if self._fleet.marks.is_leaving(link.runner_id):
                has_moved |= await self._move_stage(stage)
        return has_moved

    async def _move_stage(self, stage: int) -> bool:
        """Move one stage with its cache; if that fails it stays where it is."""
        attempt, old = self._attempt, self._links[stage]
        if attempt.position == 0 or old.runner_id in self._kept:
            return False
        replacement = self._find_replacement(stage)
        if replacement is None:
            return False
        new = self._fleet.open(replacement.runner_id)
        old_epoch = attempt.epoch
        attempt.move_stage()
        try:
            cache = await old.export_cache(
                self.job.request_id, old_epoch, timeout_s=_MOVE_TIMEOUT_S
            )
            moved = cache._replace(epoch=attempt.epoch)
            await new.import_cache(moved, timeout_s=_MOVE_TIMEOUT_S)
        except StageFailedError:
            # One try a runner: it goes on serving what it has.
            self._kept.add(old.runner_id)
            self._fleet.close(new, self.job.request_id, attempt.epoch)
            return False
        except BaseException:
            self._fleet.close(new, self.job.request_id, attempt.epoch)
            raise
        self._links[stage] = new
        self._fleet.close(old, self.job.request_id, old_epoch)
        events.log(
            events.STAGE_MOVED,
            request=self.job.request_id,
            stage=stage,
            old=old.runner_id,
            new=new.runner_id,
        )
        return True

    def replace_route(self) -> bool:
        """Go on over a new route; tell whether there is one."""
        route = self._fleet.choose_route(
            self.job.model,
            self.job.version,
            layer_count=self.job.layer_count,
            excluded=self.excluded,
        )
        if route is None:
            return False
        self._take_route(route)
        return True

    def _find_replacement(self, stage: int) -> Candidate | None:
        """Return the best other runner for a stage, if there is one."""
        return self._fleet.choose_replacement(
            self.job.model,
            self.job.version,
            self._layers[stage],
            excluded=self.excluded,
        )

    def forget_tokens(self) -> None:
        """Generate anew what the caller has already got, and don't repeat it."""
        attempt = self._attempt
        self.tokens_to_skip = max(self.tokens_to_skip, len(attempt.tokens))
        attempt.tokens.clear()

    def _take_route(self, route: Sequence[Candidate]) -> None:
        """Start a new epoch over *route*."""
        self._layers = [item.layers for item in route]
        assert tiles(self._layers, layer_count=self.job.layer_count)
        if self._links:
            events.log(
                events.ROUTE_REBUILT,
                request=self.job.request_id,
                route=[item.runner_id for item in route],
            )
        old_epoch = self._attempt.epoch
        self._attempt.restart(stage_count=len(route))
        links = [self._fleet.open(item.runner_id) for item in route]
        for link in self._links:
            self._fleet.close(link, self.job.request_id, old_epoch)
        self._links = links
        self._input = self._whole_input()

    def _whole_input(self) -> _Input:
        """Return the first stage's input from position zero."""
        payload = wire.encode_prompt(self.job.prompt, self._attempt.tokens)
        return _Input(wire.PayloadKind.TOKENS, 0, payload)

    async def _run_stage(self) -> wire.Result:
        """Give the current stage its step and wait for the result."""
        if clocks.now_s() > self.job.deadline_s:
            ran = Ran.MAYBE if self._has_submitted else Ran.NO
            raise DeadlineError(ran=ran)
        attempt = self._attempt
        step = self._step()
        future = self._links[attempt.stage].submit(step)
        self._has_submitted = True
        result = await future
        if not attempt.accepts(epoch=result.epoch, position=result.position):
            msg = f"result of epoch {result.epoch}, position {result.position}"
            raise AssertionError(msg)
        return result

    def _step(self) -> wire.Step:
        """Return the step for the current stage."""
        attempt = self._attempt
        position, given = attempt.position, self._input
        if attempt.rebuilding:
            position, given = 0, self._rebuild_input()
        return wire.Step(
            self.job.request_id,
            attempt.epoch,
            position,
            given.positions,
            self.job.priority,
            given.kind,
            given.payload,
        )

    def _rebuild_input(self) -> _Input:
        """Return all of the current stage's inputs since position zero."""
        if self._attempt.stage == 0:
            return self._whole_input()
        payload = b"".join(self._attempt.stage_inputs())
        count = self._attempt.position + self._input.positions
        return _Input(wire.PayloadKind.HIDDEN, count, payload)

    def _complete(self, result: wire.Result, count: int) -> Piece:
        """Take the last stage's token; prepare the next position."""
        attempt = self._attempt
        attempt.rebuilt()
        attempt.complete(result.token, count=count)
        payload = wire.encode_prompt("", [result.token])
        self._input = _Input(wire.PayloadKind.TOKENS, 1, payload)
        return Piece(result.token, result.payload.decode(), result.end)


def _last_positions(payload: bytes, have: int, want: int) -> bytes:
    """Return the hidden states of the last *want* of *have* positions."""
    size = len(payload) // have
    return payload[(have - want) * size :]
