# SPDX-License-Identifier: MIT
"""One connection to an engine: late results, stalls, and its end."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest

from aiohttp import web

from violethatch import LayerRange, clocks, wire
from violethatch._engine_link import EngineLink, StageFailedError
from violethatch_emulator.engine import Engine, EngineOptions


@contextlib.asynccontextmanager
async def connected(**options):
    """Provide a link to an engine, and the task that keeps it up."""
    engine = Engine(
        EngineOptions("r", "menu", "v1", LayerRange(0, 2), 2, **options)
    ).application()
    runner = web.AppRunner(engine, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    link = EngineLink(
        runner_id="r",
        availability_zone="z1",
        url=f"http://127.0.0.1:{runner.addresses[0][1]}/engine",
        stall_initial_s=1.0,
        stall_floor_s=0.1,
        silence_limit_s=60.0,
        on_change=lambda: None,
    )
    async with aiohttp.ClientSession() as session:
        task = asyncio.create_task(link.run(session))
        async with asyncio.timeout(5):
            while link.hello is None:
                await asyncio.sleep(0.01)
        yield link, task
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    await runner.cleanup()


def prompt_step(request, *, epoch=1):
    """Return a request's first step."""
    payload = wire.encode_prompt("a menu", [])
    return wire.Step(request, epoch, 0, 0, 5, wire.PayloadKind.TOKENS, payload)


class TestEngineLink:
    async def test_result_of_a_given_up_step_is_dropped(self):
        """It is counted, wakes the runner's state, and reaches nobody."""
        async with connected(base_s=0.3) as (link, _):
            future = link.submit(prompt_step("one"))
            await asyncio.sleep(0.05)
            link.check_timeouts(clocks.now_s() + 5.0)
            with pytest.raises(StageFailedError, match="stalled"):
                await future
            assert link.is_stalled
            async with asyncio.timeout(5):
                while not link.late_results:
                    await asyncio.sleep(0.01)
            assert not link.is_stalled

    async def test_end_of_the_connection_fails_what_waits(self):
        """A link that is dropped leaves no step waiting for ever."""
        async with connected(base_s=5.0) as (link, task):
            future = link.submit(prompt_step("one"))
            await asyncio.sleep(0.05)
            task.cancel()
            with pytest.raises(StageFailedError, match="connection lost"):
                async with asyncio.timeout(2):
                    await future

    async def test_busy_is_not_hung(self):
        """While other steps get results, a step is given longer."""
        async with connected(base_s=0.02, batch_limit=1) as (link, _):
            futures = [link.submit(prompt_step(f"q{n}")) for n in range(20)]
            await futures[0]
            link.check_timeouts(clocks.now_s())
            results = await asyncio.gather(*futures)
            assert [result.refusal for result in results] == [0] * 20

    async def test_superseded_epoch_is_refused(self):
        """A step of an earlier epoch is not run."""
        async with connected() as (link, _):
            await link.submit(prompt_step("one", epoch=3))
            with pytest.raises(StageFailedError, match="stale_epoch"):
                await link.submit(prompt_step("one", epoch=2))

    async def test_cache_moves_between_engines(self):
        """An exported cache goes on elsewhere at the same position."""
        async with connected() as (old, _), connected() as (new, _):
            first = await old.submit(prompt_step("one"))
            cache = await old.export_cache("one", 1, timeout_s=2)
            assert cache.position == first.positions
            await new.import_cache(cache._replace(epoch=2), timeout_s=2)
            payload = wire.encode_prompt("", [first.token])
            kind = wire.PayloadKind.TOKENS
            tokens = []
            for link, epoch in ((old, 1), (new, 2)):
                step = wire.Step("one", epoch, cache.position, 1, 5, kind, payload)
                tokens.append((await link.submit(step)).token)
            assert tokens[0] == tokens[1]
            with pytest.raises(StageFailedError, match="stale_epoch"):
                await new.export_cache("none", 1, timeout_s=2)
