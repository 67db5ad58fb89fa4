# SPDX-License-Identifier: MIT
"""A caller of the OpenAI-style interface, for tests, benchmarks and the demo."""

from __future__ import annotations

import hashlib
import json
import time

from typing import Any, NamedTuple

import aiohttp


class Streamed(NamedTuple):
    """A streamed answer, as it came.

    Attributes:
        text: The text of all pieces.
        times_s: When each piece came, in monotonic seconds.
        is_whole: Whether the stream ended as a whole answer does.
        problem: The error, if there was one.
    """

    text: str
    times_s: list[float]
    is_whole: bool
    problem: dict[str, Any] | None


def workspace_key(name: str) -> str:
    """Return the key that tests give a workspace."""
    return f"key-of-{name}"


def workspace_spec(
    name: str,
    *,
    requests_per_s: float = 10_000.0,
    concurrent: int = 10_000,
    priority: int = 5,
) -> dict[str, object]:
    """Return a workspace's entry in an intent."""
    digest = hashlib.sha256(workspace_key(name).encode()).hexdigest()
    return {
        "key_sha256": digest,
        "priority": priority,
        "requests_per_s": requests_per_s,
        "concurrent": concurrent,
    }


def standard_intent(
    *, model: str, layer_count: int, workspaces: tuple[str, ...] = ("clinic", "outlet")
) -> dict[str, object]:
    """Return an intent with a model, two plain services and workspaces."""
    return {
        "set": {
            "models": {
                model: {"version": "v1", "layer_count": layer_count, "adapters": []}
            },
            "services": {
                "labels": {"repeatable": False},
                "lookup": {"repeatable": True},
            },
            "workspaces": {name: workspace_spec(name) for name in workspaces},
        }
    }


async def stream(
    http: aiohttp.ClientSession,
    url: str,
    *,
    workspace: str,
    model: str,
    prompt: str,
    max_tokens: int,
    times_s: list[float] | None = None,
) -> Streamed:
    """Call ``/v1/completions`` and read the stream to its end.

    Args:
        http: Makes the call.
        url: The entry instance's address.
        workspace: Who calls.
        model: The model.
        prompt: The prompt.
        max_tokens: The most tokens to generate.
        times_s: Filled with the times of the pieces as they come.
    """
    body = {
        "model": model,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {workspace_key(workspace)}"}
    texts: list[str] = []
    times_s = [] if times_s is None else times_s
    problem = None
    is_whole = False
    async with http.post(f"{url}/v1/completions", json=body, headers=headers) as answer:
        if answer.status != 200:
            return Streamed("", [], False, await answer.json(content_type=None))
        try:
            async for line in answer.content:
                data = line.removeprefix(b"data: ").strip()
                if not data:
                    continue
                if data == b"[DONE]":
                    is_whole = True
                    continue
                event = json.loads(data)
                if "error" in event:
                    problem = event["error"]
                    continue
                texts.append(event["choices"][0]["text"])
                times_s.append(time.monotonic())
        except aiohttp.ClientError as error:
            problem = {"detail": str(error)}
    return Streamed("".join(texts), times_s, is_whole, problem)


async def call_service(
    http: aiohttp.ClientSession,
    url: str,
    *,
    workspace: str,
    service: str,
    path: str = "print",
    body: str = "",
    method: str = "POST",
    idempotency_key: str | None = None,
) -> tuple[int, Any]:
    """Call a plain service; return the status and the decoded answer."""
    headers = {"Authorization": f"Bearer {workspace_key(workspace)}"}
    if idempotency_key is not None:
        headers["Idempotency-Key"] = idempotency_key
    async with http.request(
        method, f"{url}/services/{service}/{path}", data=body, headers=headers
    ) as answer:
        return answer.status, await answer.json(content_type=None)
