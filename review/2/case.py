# SPDX-License-Identifier: MIT
"""An entry of another writer ends every router process, again and again."""

from __future__ import annotations

import asyncio
import os
import sys

from pathlib import Path
from typing import Any


sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from site_parts import ENGINE, EngineRunner, Router, Site, in_time
from wire import HOST


_RECORD = Path(__file__).with_name("record.txt")
_HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
_LAYERS = 80
_RESTART_S = 0.5
_WATCH_S = 70.0
#: What the rule allows at a machine in a day, and at how many machines more is a fault.
_ENDS = 3
_MACHINES = 2
_STATE: dict[str, Any] = {
    "Version": 1,
    "Routes": [
        {
            "Name": "draft",
            "Host": "menu.example",
            "PathPrefix": "/draft/",
            "Kind": "streaming",
            "TimeoutMs": 20000,
            "TargetLatencyMs": 500,
            "Priority": 1,
            "Service": "model",
            "MaxAttempts": 2,
            "AuthExempt": False,
            "StreamResume": True,
            "gap_aim_ms": 200,
        }
    ],
    "Services": [
        {
            "Name": "model",
            "HealthPath": "/health",
            "MaxConnections": 1138,
            "Engine": {**ENGINE, "layers": _LAYERS},
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "clinic", "ApiKeys": ["k1"], "Priority": 1}],
}
#: Of a server of another model, with more layers, under this service's name.
_FOREIGN = {
    "Service": "model",
    "Address": f"{HOST}:9",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 96,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Stage": "both",
    "Models": [{"Name": "another-model", "Version": 1, "Adapters": []}],
    "Kind": "a100",
    "layers": {"From": 0, "TargetVersion": 96, "Version": 1},
    "Sequence": 1,
}


async def _supervise(site: Site, router: Router) -> None:
    """Start a router again each time that it ends, as the platform does."""
    while True:
        assert router.process is not None
        status = await router.process.wait()
        site.note("ended by itself", router=router.name, status=status)
        await asyncio.sleep(_RESTART_S)
        await router.start(site.folder)


async def _call_steadily(site: Site, router: Router, served: list[bool]) -> None:
    """Send a request from time to time, with one try each."""
    while True:
        call_id = f"{router.name}-{len(served)}"
        answer = await site.call(router, call_id, "/draft/1", limit_s=4.0)
        served.append(answer.status == 200 and answer.is_whole)
        await asyncio.sleep(0.2)


async def _run() -> int:
    """Let a foreign entry stand while a runner joins; count ends of routers."""
    site = Site(_RECORD)
    tasks: list[asyncio.Task[None]] = []
    try:
        await site.start()
        site.configure(_STATE)
        for name, layers in (("m-1", (0, 40)), ("m-2", (40, 80))):
            await site.add_runner(EngineRunner(site, name, "model", layers=layers))
        routers = [await site.add_router(f"edge-{number}") for number in range(2)]
        await asyncio.sleep(2.0)
        served: dict[str, list[bool]] = {router.name: [] for router in routers}
        tasks = [asyncio.create_task(_supervise(site, one)) for one in routers]
        tasks += [
            asyncio.create_task(_call_steadily(site, one, served[one.name]))
            for one in routers
        ]
        await asyncio.sleep(3.0)
        if _HAS_TROUBLE:
            site.store.put("servers", "i-foreign", _FOREIGN)
            site.note("foreign entry", id="i-foreign")
        # Planned work: an empty runner joins.
        await site.add_runner(EngineRunner(site, "m-3", "model"))
        site.note("joined", runner="m-3")
        await asyncio.sleep(_WATCH_S)
        ends = {
            router.name: sum(
                line["router"] == router.name for line in site.noted("ended by itself")
            )
            for router in routers
        }
        shares = {
            name: round(sum(tries) / max(1, len(tries)), 3)
            for name, tries in served.items()
        }
        site.note("verdict", ends=ends, served=shares)
        print(f"ends {ends}, served {shares}")
        if not any(any(tries) for tries in served.values()):
            return 2
        return 1 if sum(n >= _ENDS for n in ends.values()) >= _MACHINES else 0
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(in_time(_run(), _RECORD)))
