# SPDX-License-Identifier: MIT
"""Completions over real processes."""

from __future__ import annotations

import asyncio
import os
import pathlib

import openai

from conftest import LAYERS
from violethatch_emulator import expected_text
from violethatch_emulator.callers import stream, workspace_key


class TestCompletions:
    async def test_openai_client_streams_a_chat(self, bench):
        """An OpenAI client receives the response of the model in chunks."""
        await bench.start()
        cluster = bench.cluster
        async with openai.AsyncOpenAI(
            base_url=cluster.url("e1", "/v1"),
            api_key=workspace_key("clinic"),
            max_retries=0,
        ) as client:
            chunks = await client.chat.completions.create(
                model=cluster.model,
                messages=[{"role": "user", "content": "no nuts"}],
                max_tokens=12,
                stream=True,
            )
            text = "".join([chunk.choices[0].delta.content async for chunk in chunks])
            completion = await client.chat.completions.create(
                model=cluster.model,
                messages=[{"role": "user", "content": "no nuts"}],
                max_tokens=12,
            )
        expected = expected_text("user: no nuts", layer_count=LAYERS, limit=12)
        assert expected == text
        assert expected == completion.choices[0].message.content

    async def test_concurrent_callers_receive_their_own_responses(self, bench):
        """120 requests of two workspaces over three instances are not mixed up."""
        entries = ("e1", "e2", "e3")
        await bench.start(entries=entries, zones=("z1", "z1", "z2"))
        cluster = bench.cluster

        async def send_request(number):
            prompt = f"household {number} wants a menu"
            response = await stream(
                cluster.http,
                cluster.url(entries[number % 3]),
                workspace=("clinic", "outlet")[number % 2],
                model=cluster.model,
                prompt=prompt,
                max_tokens=16,
            )
            expected = expected_text(prompt, layer_count=LAYERS, limit=16)
            return response.is_whole and response.text == expected

        assert all(
            await asyncio.gather(*(send_request(number) for number in range(120)))
        )
        ledger = cluster.ledger()
        assert len(ledger.requests) == 120
        assert ledger.faults(layer_count=LAYERS) == []


class TestProcess:
    async def test_serving_process_uses_no_forbidden_facilities(self, bench):
        """No io_uring, no child processes, no shared memory, the system's libc."""
        await bench.start()
        cluster = bench.cluster
        await stream(
            cluster.http,
            cluster.url("e1"),
            workspace="clinic",
            model=cluster.model,
            prompt="a kit",
            max_tokens=4,
        )
        pid = cluster.processes["e1"].pid
        links = []
        for number in os.listdir(f"/proc/{pid}/fd"):
            try:
                links.append(os.readlink(f"/proc/{pid}/fd/{number}"))
            except FileNotFoundError:
                continue
        assert not [link for link in links if "io_uring" in link]
        tasks = os.listdir(f"/proc/{pid}/task")
        process = pathlib.Path(f"/proc/{pid}")
        children = [
            child
            for task in tasks
            for child in (process / "task" / task / "children").read_text().split()
        ]
        assert children == []
        maps = (process / "maps").read_text()
        assert "/dev/shm" not in maps
        # libc maps its read-only gconv cache as shared; only writable maps are checked.
        modes = [line.split()[1] for line in maps.splitlines()]
        assert not [mode for mode in modes if mode[1] == "w" and mode[3] == "s"]
        assert "/libc.so" in maps or "/libc-" in maps
