# SPDX-License-Identifier: MIT
"""What proofs have in common: streams that are checked, calls, broken programs.

A proof is a coroutine that returns what it found violated.
"""

from __future__ import annotations

import asyncio
import itertools
import pathlib

from conftest import LAYERS
from violethatch_emulator import expected_text, expected_tokens
from violethatch_emulator.callers import call_service, stream


STREAM_TIMEOUT_S = 40
#: A proof that takes longer has failed; none takes half of it.
TEST_TIMEOUT_S = 120
BROKEN = str(pathlib.Path(__file__).with_name("broken.py"))


def program(broken):
    """Return start_entry's program: the product, or a broken one."""
    return {"program": (BROKEN, broken)} if broken else {}


def answer_fault(name, answer, prompt, limit):
    """Return what is wrong with a streamed answer, as a list."""
    if answer.text != expected_text(prompt, layer_count=LAYERS, limit=limit):
        return [f"{name}: not its own whole answer: {answer.problem}"]
    return [] if answer.is_whole else [f"{name}: cut off"]


def long_prompt(text, limit):
    """Return a prompt that begins with *text* and is answered to the limit."""
    for number in itertools.count():
        prompt = f"{text} {number}"
        tokens = expected_tokens(prompt, layer_count=LAYERS, limit=limit)
        # The last one may end the answer: it stays as long all the same.
        if len(tokens) == limit:
            return prompt
    raise AssertionError


def stream_many(cluster, entries, *, count, limit):
    """Stream to several entry instances; awaited, return what was wrong."""
    # Before anything is awaited: it takes a while for long answers.
    prompts = [long_prompt(f"claim {n} of an outlet", limit) for n in range(count)]
    return _stream_all(cluster, entries, prompts, limit)


async def _stream_all(cluster, entries, prompts, limit):
    """Stream each prompt's answer; return what was wrong."""

    async def one(number):
        prompt = prompts[number]
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                answer = await stream(
                    cluster.http,
                    cluster.url(entries[number % len(entries)]),
                    workspace="outlet",
                    model=cluster.model,
                    prompt=prompt,
                    max_tokens=limit,
                )
        except TimeoutError:
            return [f"stream {number}: no answer"]
        return answer_fault(f"stream {number}", answer, prompt, limit)

    results = await asyncio.gather(*(one(number) for number in range(len(prompts))))
    return [fault for faults in results for fault in faults]


async def wait_running(cluster, call):
    """Wait until a service runs a call that was started as a task."""
    while not cluster.service_calls():
        if call.done():
            msg = f"the call ended without running: {call.result()}"
            raise AssertionError(msg)
        await asyncio.sleep(0.02)


async def wait_working(cluster, work, *runner_ids):
    """Wait until runners hold requests of *work*, a task that goes on."""
    for runner_id in runner_ids:
        while not (await cluster.status(runner_id))["requests"]:
            if work.done():
                msg = f"the work ended before {runner_id} held any: {work.result()}"
                raise AssertionError(msg)
            await asyncio.sleep(0.02)


async def wait_under_way(cluster, work, runner_id, *, steps=100):
    """Wait until a runner has run so many steps of *work*, which goes on.

    Streams that are replaced before their second position show nothing.
    """
    while sum(x.runner_id == runner_id for x in cluster.ledger().lines) < steps:
        if work.done():
            msg = f"the work ended before {runner_id} ran much: {work.result()}"
            raise AssertionError(msg)
        await asyncio.sleep(0.02)


async def come_to_pass(check, *, limit_s):
    """Wait until *check*, a coroutine function, holds; tell whether it did.

    A proof that goes on without it finds what it is to find by itself: where
    a mechanism is broken, the state may never come.
    """
    try:
        async with asyncio.timeout(limit_s):
            while not await check():
                await asyncio.sleep(0.05)
    except TimeoutError:
        return False
    return True


async def label(cluster, entry, key, body="kit 17"):
    """Print a label."""
    return await call_service(
        cluster.http,
        cluster.url(entry),
        workspace="clinic",
        service="labels",
        body=body,
        idempotency_key=key,
    )
