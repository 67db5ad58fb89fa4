# SPDX-License-Identifier: MIT
"""The only tenant loses its last key; requests without a valid key go on to run."""

from __future__ import annotations

import asyncio
import os
import sys

from pathlib import Path
from typing import Any


sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from site_parts import BOUNDS, Runner, Site, in_time


_RECORD = Path(__file__).with_name("record.txt")
_HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
_REVOKE_S = BOUNDS["RevokeMs"] / 1000


def _state(version: int, keys: list[str]) -> dict[str, Any]:
    """Return a desired state whose only tenant has some keys."""
    return {
        "Version": version,
        "Routes": [
            {
                "Name": "print",
                "Host": "menu.example",
                "PathPrefix": "/print/",
                "Kind": "non_idempotent",
                "TimeoutMs": 1500,
                "TargetLatencyMs": 400,
                "Priority": 0,
                "Service": "labels",
                "MaxAttempts": 1,
                "AuthExempt": False,
            }
        ],
        "Services": [
            {"Name": "labels", "HealthPath": "/health", "MaxConnections": 110}
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "clinic", "ApiKeys": keys, "Priority": 1}],
    }


async def _run() -> int:
    """Take the keys away one after the other; tell whether one still opens."""
    site = Site(_RECORD)
    try:
        await site.start()
        site.configure(_state(1, ["k1", "k2"]))
        for number in range(2):
            await site.add_runner(Runner(site, f"i-{number}", "labels"))
        router = await site.add_router("edge-1")
        for key in ("k1", "k2"):
            answer = await site.call(router, f"before-{key}", "/print/1", key=key)
            if answer.status != 200:
                return 2
        if (await site.call(router, "before-none", "/print/1", key=None)).status != 401:
            return 2
        if _HAS_TROUBLE:
            site.configure(_state(2, ["k2"]))
            await asyncio.sleep(0.3)
            site.configure(_state(3, []))
        await asyncio.sleep(_REVOKE_S + 1.0)
        for number in range(5):
            for key in ("k1", "k2", "never-given", None):
                await site.call(router, f"after-{number}-{key}", "/print/1", key=key)
            await asyncio.sleep(0.2)
        ran = {line["id"] for line in site.noted("run")}
        taken = ("k1", "k2") if _HAS_TROUBLE else ()
        wrong = sorted(
            call_id
            for call_id in ran
            if call_id.startswith("after")
            and call_id.rpartition("-")[2] in (*taken, "given", "None")
        )
        site.note("verdict", ran_without_a_key_in_force=wrong)
        print(f"{len(wrong)} requests ran without a key that is in force")
        return 1 if wrong else 0
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(in_time(_run(), _RECORD)))
