# SPDX-License-Identifier: MIT
"""Days made of kinds of trouble: each kind alone, or in drawn pairs."""

from __future__ import annotations

import itertools
import json
import random

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple


#: How long a day is, in seconds: two rounds of trouble and the time after them.
_LENGTH_S = 28.0
#: When trouble comes, in seconds from the start of traffic.
_TIMES_S = (4.0, 14.0)
#: How long after another the second trouble of a pair comes, in seconds.
_APART_S = 0.7


class Trouble(NamedTuple):
    """One kind of trouble in one of its variants."""

    kind: str
    how: str = ""
    is_planned: bool = False
    fields: Mapping[str, float | str] = {}

    @property
    def name(self) -> str:
        """What a day with it is called."""
        return "-".join([self.kind, *self.how.split()])


def _variants(kind: str, hows: str, **fields: float | str) -> Iterator[Trouble]:
    """Return a kind of trouble in each of its variants, split at commas."""
    for how in hows.split(","):
        yield Trouble(kind, how.strip(), fields=fields)


#: What the users' page of kinds names, with the figures that it gives or that the
#: sites' days use.
TROUBLES: Sequence[Trouble] = (
    *_variants("burst", "", x=2.0, for_s=3.0),
    *_variants("hot_key", "", share=0.6, for_s=4.0),
    *_variants("retry_abuse", "", share=0.3, x=3.0, for_s=4.0),
    *_variants("give_up", "", share=0.3, for_s=4.0),
    *_variants("srv_crash", ",dark,gone", for_s=4.0),
    *_variants("srv_crash", "joined,joined dark gone", count=3, for_s=4.0),
    *_variants("srv_slow", "", share=0.2, x=4.0, for_s=5.0),
    *_variants("srv_grey", "errors,shed,busy,hang,reset,mute,slow", for_s=4.0),
    *_variants("answer_lost", ",reset", share=0.5, x=0.1, for_s=4.0),
    *_variants("garble", ",extra,unframed,early,rot", share=0.5, x=0.1, for_s=4.0),
    *_variants("node_kill", ",power", share=0.3, for_s=2.0),
    *_variants("node_kill", "leader,giver,reader", count=1, for_s=2.0),
    *_variants("node_freeze", ",renewed,leader", share=0.25, for_s=3.0),
    *_variants("node_slow", "", share=0.3, x=5.0, for_s=4.0),
    *_variants("herd_kill", ",power,taken", share=0.6, for_s=2.0),
    *_variants("clock_step", ",back,ahead", x=4000.0, for_s=4.0),
    *_variants("reset_conns", "", share=0.5, x=0.5, for_s=3.0),
    *_variants("zone_cut", ",drop", for_s=5.0),
    *_variants(
        "core_cut", ",all,near,one_way,leader,reader,meet,race", count=2, for_s=5.0
    ),
    *_variants("node_cut", ",all,servers,reset", share=0.25, for_s=4.0),
    *_variants("lossy", "", x=0.05, for_s=5.0),
    *_variants("platform_down", "silent,busy,reset,silent lapse", for_s=6.0),
    *_variants(
        "platform_down",
        "nodes busy,nodes many,nodes reset,nodes silent,nodes leader,"
        "nodes silent revoke,nodes busy meet",
        share=0.4,
        for_s=6.0,
    ),
    *_variants("platform_slow", "", x=50.0, for_s=5.0),
    *_variants("platform_lost", ",late", x=0.3, for_s=5.0),
    *_variants("platform_compact", ",drain,stale", x=3.0, for_s=5.0),
    *_variants("applied_late", "orders", x=0.5, for_s=6.0),
    *_variants("kv_slow", ",zones", share=0.3, x=8.0, for_s=5.0),
    *_variants("srv_cut", ",fronts,some,one_way,reset", share=0.2, for_s=4.0),
    *_variants("replace_with_reuse", ",drain,dark", share=0.15),
    *_variants("after_ack_kill", ",kill,timed", for_s=2.0),
    *(
        Trouble(kind, how, is_planned=True, fields=fields)
        for kind, how, fields in (
            ("release", "", {"share": 0.5, "x": 2, "gap_s": 0.8}),
            ("scale_out", "", {"share": 0.3}),
            ("scale_in", "", {"share": 0.15}),
            ("scale_in", "spot", {"share": 0.15, "x": 2.0}),
            ("roll_term", "", {"share": 1.0, "x": 1, "gap_s": 1.0}),
            ("roll_term", "remove", {"share": 0.3, "x": 1, "gap_s": 1.0}),
            ("add_nodes", "", {"count": 2}),
            ("replace_core", "", {"x": 1.0}),
            ("replace_core", "planned", {"x": 1.0}),
            ("config_change", "route", {}),
            ("config_change", "weights", {}),
            ("config_change", "timeout", {}),
            ("config_change", "tenant", {}),
            ("config_change", "idle", {}),
            ("config_storm", "", {"gap_s": 0.3, "for_s": 4.0}),
            ("big_config", "", {"count": 1400}),
            ("revoke", "", {"count": 2, "gap_s": 0.5}),
            ("revoke", "last", {"count": 2, "gap_s": 0.5}),
            ("hup", "", {"share": 0.5, "gap_s": 1.0}),
        )
    ),
)

#: How a day may end, beside not at all.
_CLOSINGS = ("", "power_off_all", "kill_all", "wipe_after_ack")


def _entry(trouble: Trouble, at_s: float) -> str:
    """Return one entry of a day's list."""
    fields: dict[str, float | str] = {"at": at_s, "kind": trouble.kind}
    fields |= trouble.fields
    if trouble.how:
        fields["how"] = trouble.how
    # JSON writes these numbers and strings as TOML does.
    inside = ", ".join(
        f"{name} = {json.dumps(value)}" for name, value in fields.items()
    )
    return f"  {{ {inside} }},"


def day_text(name: str, troubles: Iterable[Trouble], *, seed: int, closing: str) -> str:
    """Return a day with each of some troubles twice, as TOML."""
    plan: list[str] = []
    faults: list[str] = []
    for number, trouble in enumerate(troubles):
        for at_s in _TIMES_S:
            entry = _entry(trouble, at_s + _APART_S * number)
            (plan if trouble.is_planned else faults).append(entry)
    lines = [
        "[[day]]",
        f'name = "{name}"',
        'slot = "trouble"',
        f"seed = {seed}",
        f"length_s = {_LENGTH_S}",
    ]
    if closing:
        lines.append(f'closing = {{ kind = "{closing}", down_s = 1.0 }}')
    lines += ["plan = [", *plan, "]", "faults = [", *faults, "]", ""]
    return "\n".join(lines)


def alone(part: str) -> Iterator[tuple[str, str]]:
    """Return a day for each trouble whose name holds *part*."""
    for seed, trouble in enumerate(TROUBLES, start=1):
        if part in trouble.name:
            closing = _CLOSINGS[seed % len(_CLOSINGS)]
            text = day_text(trouble.name, [trouble], seed=seed, closing=closing)
            yield trouble.name, text


def pairs(count: int, seed: int) -> Iterator[tuple[str, str]]:
    """Return days with two troubles each, drawn by a seed."""
    rng = random.Random(seed)
    all_pairs = list(itertools.combinations(TROUBLES, 2))
    for number, pair in enumerate(rng.sample(all_pairs, count)):
        name = "--".join(one.name for one in pair)
        closing = rng.choice(_CLOSINGS)
        yield name, day_text(name, pair, seed=seed + number, closing=closing)
