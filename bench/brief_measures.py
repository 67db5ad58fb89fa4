# SPDX-License-Identifier: MIT
"""The brief's two measures, for a site of the users' bench and days played there.

    python3 bench/brief_measures.py SITE [OUTPUT...]

SITE is a site file, OUTPUT what ``fleetbench run`` printed of a day.  The first
measure is throughput beside what the hardware could bound, which `_hardware_bound`
works out from the site's cards; the second is how long it takes after each fault until
a span of the day is served as well as before the first one.
"""

from __future__ import annotations

import pathlib
import re
import sys
import tomllib

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from _hardware_bound import hardware_bound
from violethatch._chains import best_chains, group_by_zone
from violethatch._hosts import Host
from violethatch._tiers import tiered_chains
from violethatch.engine_model import AcceleratorKind, EngineSpec


#: How much less worth a span may have and count as recovered: days of the same code
#: differ by as much.
_TOLERANCE = 0.03
#: The longest time after a fault that is searched, in seconds.
_LONGEST_S = 20.0
_SPAN = re.compile(
    r"^(?P<at>\d+)\s+(?P<asked>\d+)\s+(?P<in_aim>\d+)\s+(?P<late>\d+)\s+(?P<refused>\d+)"
    r"\s+(?P<failed>\d+)\s+(?P<not_owed>\d+)\s+(?P<worth>[\d.]+)\s"
)
_FAULT = re.compile(r"^\s+(?P<at>[\d.]+) s to\s+(?P<to>[\d.]+) s\s+(?P<what>.+)$")


class Span(NamedTuple):
    """What was asked from a second of the day on, and how it was served."""

    at_s: float
    asked: int
    in_aim: int
    late: int
    not_owed: int
    worth: float


class Fault(NamedTuple):
    """A disturbance of a day."""

    at_s: float
    what: str


class Recovery(NamedTuple):
    """How long it took after a fault until all was as good as before; None if never."""

    fault: Fault
    after_s: float | None


def read_spans(text: str) -> list[Span]:
    """Return the spans of a day from what was printed of it."""
    _, _, table = text.partition("\nfrom second ")
    spans = []
    for line in table.splitlines()[1:]:
        found = _SPAN.match(line)
        if found is None:
            break
        spans.append(
            Span(
                at_s=float(found["at"]),
                asked=int(found["asked"]),
                in_aim=int(found["in_aim"]),
                late=int(found["late"]),
                not_owed=int(found["not_owed"]),
                worth=float(found["worth"]),
            )
        )
    return spans


def read_faults(text: str) -> list[Fault]:
    """Return the disturbances of a day from what was printed of it."""
    _, _, table = text.partition("\nwhat happened\n")
    faults = []
    for line in table.splitlines():
        found = _FAULT.match(line)
        if found is None:
            break
        faults.append(Fault(float(found["at"]), found["what"].strip()))
    return faults


def recoveries(spans: Sequence[Span], faults: Sequence[Fault]) -> list[Recovery]:
    """Return how long each fault was felt.

    A span counts as good whose worth is that of the time before the first fault, or
    at which nothing was owed.
    """
    if not spans or not faults:
        return []
    first_s = min(fault.at_s for fault in faults)
    before = [one.worth for one in spans if one.at_s < first_s] or [1.0]
    good = sum(before) / len(before) - _TOLERANCE
    return [Recovery(fault, _felt_s(spans, fault, good)) for fault in faults]


def _felt_s(spans: Sequence[Span], fault: Fault, good: float) -> float | None:
    """Return how long after a fault the first span from it on is as good as before."""
    length_s = spans[1].at_s - spans[0].at_s if len(spans) > 1 else 1.0
    for span in spans:
        if span.at_s + length_s <= fault.at_s:
            continue
        if span.at_s - fault.at_s > _LONGEST_S:
            return None
        if span.worth >= good:
            return max(0.0, span.at_s - fault.at_s)
    return None


def engine_of(site: Mapping[str, Any], service: Mapping[str, Any]) -> EngineSpec:
    """Return a service's engine as a site file states it."""
    thin = site.get("thin", 1.0)
    llm, joint = service["llm"], service["llm"]["joint"]
    kinds = [one for one in site["classes"] if one["service"] == service["name"]]
    streams = [one["stream"] for one in kinds if "stream" in one]
    prompt = sum(one["prompt_tokens"]["mean"] for one in streams) / len(streams)
    pieces = sum(one["pieces"]["mean"] for one in streams) / len(streams)
    return EngineSpec(
        slots=int(llm["batch"] * thin),
        layer_count=joint["layers"],
        layer_mb=joint["layer_mb"],
        kv_token_bytes=llm["kv_bytes"] / thin,
        step_ms=llm["step_ms"],
        per_sequence_ms=llm["step_ms_per_slot"] / thin,
        context_per_k_ms=llm["context_ms_per_k"] / thin,
        prefill_tokens_per_s=llm["prefill_tokens_per_ms"] * 1000.0,
        attention_ms_per_m_pairs=llm["pairs_ms_per_m"],
        chunk_tokens=llm["chunk"],
        usual_prompt_tokens=prompt,
        usual_answer_tokens=pieces * llm.get("stride", 1),
        load_s=0.0,
        kinds={
            one["name"]: AcceleratorKind(one["mb"], one["pace"], one["read_x"])
            for one in joint["kinds"]
        },
        zone_delay_ms={},
        activation_bytes=joint["act_bytes"] / thin,
        zone_link_mbps=joint["pipe_mbps"],
    )


def site_hosts(service: Mapping[str, Any]) -> list[Host]:
    """Return a service's runners, empty."""
    return [
        Host(f"{part['zone']}-{part['kind']}-{n}", part["zone"], part["kind"], None)
        for part in service["servers"]
        for n in range(part["count"])
    ]


def asked_per_s(site: Mapping[str, Any], service: str) -> float:
    """Return how many streams of a service a site's traffic asks for in a second."""
    names = {
        one["name"]
        for one in site["classes"]
        if one["service"] == service and "stream" in one
    }
    asked = 0.0
    for one in site["traffic"]:
        mix = one["mix"]
        part = sum(mix[name] for name in names if name in mix) / sum(mix.values())
        asked += one["per_s"] * site.get("thin", 1.0) * part
    return asked


def _show_site(site: Mapping[str, Any]) -> None:
    """Print what a site's hardware bounds, and what placement plans of it."""
    for service in site["services"]:
        if "joint" not in service.get("llm", {}):
            continue
        engine = engine_of(site, service)
        hosts = site_hosts(service)
        bound = hardware_bound(Counter(host.kind for host in hosts), engine)
        asked = asked_per_s(site, service["name"])
        print(
            f"{service['name']}: bound {bound.requests_per_s:.0f} a second "
            f"(time {bound.by_time_per_s:.0f}, memory {bound.by_memory_per_s:.0f}), "
            f"asked {asked:.0f}"
        )
        for name, divide in (("even", best_chains), ("tiers", tiered_chains)):
            chains = [
                c
                for group in group_by_zone(hosts, engine)
                for c in divide(group, engine)
            ]
            rate = sum(chain.requests_per_s for chain in chains)
            quickest_ms = min((chain.token_ms for chain in chains), default=0.0)
            print(
                f"  {name}: {rate:.0f} a second planned "
                f"({rate / bound.requests_per_s:.2f} of the bound), "
                f"{len(chains)} chains, quickest token {quickest_ms:.1f} ms"
            )


def _show_day(path: str) -> None:
    """Print a day's two measures."""
    text = pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
    spans = read_spans(text)
    owed = sum(one.asked - one.not_owed for one in spans)
    served = sum(one.in_aim + one.late for one in spans)
    felt = recoveries(spans, read_faults(text))
    known = sorted(one.after_s for one in felt if one.after_s is not None)
    print(f"{path}: {served} of {owed} served ({served / max(1, owed):.3f})")
    if known:
        median_s = known[len(known) // 2]
        never = len(felt) - len(known)
        print(f"  recovery: median {median_s:.1f} s, longest {known[-1]:.1f} s")
        print(f"  {never} of {len(felt)} not within {_LONGEST_S:.0f} s")
    for one in felt:
        after = "not" if one.after_s is None else f"{one.after_s:.1f} s"
        print(f"    {one.fault.at_s:6.1f}  {after:>7}  {one.fault.what}")


def main(arguments: Sequence[str]) -> int:
    """Print the measures of a site and of its days."""
    if not arguments:
        print(__doc__)
        return 2
    _show_site(tomllib.loads(pathlib.Path(arguments[0]).read_text(encoding="utf-8")))
    for path in arguments[1:]:
        _show_day(path)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
