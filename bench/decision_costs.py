# SPDX-License-Identifier: MIT
"""What each decision costs in processor time, at the size of a site.

    python3 bench/decision_costs.py SITE

SITE is a site file of the users' bench.  The decisions are made by the modules that
the router uses, over the site's own cards as placement divides them; each is repeated
and the median is printed, in microseconds of this machine's processor.
"""

from __future__ import annotations

import json
import pathlib
import random
import statistics
import sys
import time
import tomllib

from collections.abc import Callable, Sequence
from typing import Any

from brief_measures import engine_of, site_hosts
from violethatch import clocks
from violethatch._flow_control import FlowController
from violethatch._hosts import Host
from violethatch._path_choice import PathSelector
from violethatch.backends import BackendServer, BackendTable
from violethatch.desired import ServiceSpec
from violethatch.engine_model import EngineSpec
from violethatch.load_sums import LoadTotals, ServerTotals, server_number
from violethatch.path_shares import ZonePosition
from violethatch.paths import LayerMap
from violethatch.pipe_share import PipeShare
from violethatch.placement import divide, plan_placement
from violethatch.platform._wire import WireDecoder
from violethatch.retries import RetryBudget
from violethatch.retry_shares import RetryShare
from violethatch.runner_health import RunnerHealth, ServerFault
from violethatch.slow_runners import SlowRunners
from violethatch.stream_loads import StreamLoads
from violethatch.upstream import SendKind


#: How often each decision is timed; those that take longer than a tenth of a second in
#: all are timed less often.
_REPEATS = 200
_LONGEST_S = 2.0
#: Servers in the largest list that is planned for.
_LISTED = 790
_MICROSECONDS = 1e6


def median_us(decide: Callable[[], Any]) -> float:
    """Return the median processor time of a decision, in microseconds."""
    taken: list[float] = []
    end_s = clocks.now_s() + _LONGEST_S
    while len(taken) < _REPEATS and (not taken or clocks.now_s() < end_s):
        started_s = time.process_time()
        decide()
        taken.append(time.process_time() - started_s)
    return statistics.median(taken) * _MICROSECONDS


def placed_servers(hosts: Sequence[Host], engine: EngineSpec) -> list[BackendServer]:
    """Return runners that hold what placement gives them."""
    orders = divide(hosts, engine)
    return [
        BackendServer(
            id=host.id,
            service="model",
            address=f"10.0.0.1:{9000 + n}",
            availability_zone=host.availability_zone,
            slots=engine.slots,
            is_leaving=False,
            layers=orders.get(host.id),
            kind=host.kind,
        )
        for n, host in enumerate(hosts)
    ]


def listed_rows(servers: Sequence[BackendServer]) -> list[tuple[str, bytes]]:
    """Return the rows of a list as large as the largest that is planned for."""
    rows = []
    for n in range(_LISTED):
        server = servers[n % len(servers)]
        entry = {
            "Service": server.service,
            "Address": server.address,
            "Zone": server.availability_zone,
            "Version": "v1",
            "Slots": server.slots,
            "State": "ready",
            "Sequence": n,
            "ColdRemainingMs": 0,
            "Kind": server.kind,
            "born": 1_790_000_000_000 + n,
            "layers": {"From": 0, "TargetVersion": 20, "Version": 1},
        }
        rows.append((f"i-{n}", json.dumps(entry).encode()))
    return rows


def path_choice(servers: Sequence[BackendServer], instances: int) -> PathSelector:
    """Return one instance's choice, with news of all runners."""
    backends = BackendTable(leaving_s=4.0)
    backends.replace(servers, now_s=0.0)
    loads = StreamLoads()
    news = {server_number(one.id): ServerTotals(10, 90_000.0) for one in servers}
    loads.update_others(LoadTotals(instances, 0.0, news, 0.7), now_s=clocks.now_s())
    choice = PathSelector(
        servers[0].availability_zone,
        backends=backends,
        health=RunnerHealth(),
        flow_control=FlowController(backends, rng=random.Random(1)),
        paces=SlowRunners(),
        loads=loads,
        zone_link=PipeShare(random.Random(1)),
        instances=lambda: instances,
    )
    choice.zone_position = lambda: ZonePosition(0.5, max(1, instances // 3))
    return choice


def main(arguments: Sequence[str]) -> int:
    """Print what decisions cost at a site."""
    if len(arguments) != 1:
        print(__doc__)
        return 2
    site = tomllib.loads(pathlib.Path(arguments[0]).read_text(encoding="utf-8"))
    service = next(one for one in site["services"] if "joint" in one.get("llm", {}))
    engine = engine_of(site, service)
    hosts = site_hosts(service)
    servers = placed_servers(hosts, engine)
    whole = [
        host._replace(held=one.layers) for host, one in zip(hosts, servers, strict=True)
    ]
    instances = sum(one["count"] for one in site["machines"])
    zone = servers[0].availability_zone
    near = [one for one in servers if one.availability_zone == zone]
    far_map, near_map = LayerMap(servers, engine), LayerMap(near, engine)
    kept = near_map.find(zone=zone)
    assert kept is not None
    lost = frozenset({kept.stages[-1].server.id})
    choice = path_choice(servers, instances)
    spec = ServiceSpec("model", 1000, engine)
    health = RunnerHealth()
    share = RetryShare(RetryBudget(ratio=0.1, reserve=3.0))

    gate = FlowController(BackendTable(), rng=random.Random(1))
    rows_listed = listed_rows(servers)
    decoder = WireDecoder()

    def lay_anew() -> None:
        choice._shares.clear()
        choice.path(spec)

    rows: list[tuple[str, Callable[[], Any]]] = [
        ("a path over the own zone", lambda: near_map.find(zone=zone)),
        ("a path over all zones", lambda: far_map.find(zone=zone)),
        ("the maps, after a change of the list", lambda: LayerMap(servers, engine)),
        ("parts laid anew (each half second)", lay_anew),
        ("a path of parts that are laid", lambda: choice.path(spec)),
        (
            "a move past a lost runner",
            lambda: choice.path(
                spec, excluded=lost, first_server=kept.first, current_path=kept
            ),
        ),
        (
            "a trouble noted, all rests read",
            lambda: (
                health.record_fault("a", ServerFault.SILENT, now_s=clocks.now_s()),
                health.in_cooldown(now_s=clocks.now_s()),
            ),
        ),
        (
            "a look at what a server has said",
            lambda: gate.check_send(servers[0], SendKind.REPORT, ""),
        ),
        ("the clock read", clocks.now_s),
        (
            f"a list of {_LISTED} servers read",
            lambda: [decoder.backend_server(one, row) for one, row in rows_listed],
        ),
        ("a retry taken", lambda: share.withdraw(now_s=0.0)),
        ("a plan where nothing lacks", lambda: plan_placement(whole, engine)),
        ("an empty fleet divided", lambda: divide(hosts, engine)),
    ]
    print(f"{len(servers)} runners, {instances} instances")
    for name, decide in rows:
        print(f"{median_us(decide):12.1f} us  {name}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
