# SPDX-License-Identifier: MIT
"""Days of our own on the users' bench: each kind of trouble, alone and in pairs.

    FLEETBENCH=PATH SITE=FILE python3 bench/days.py kept
    FLEETBENCH=PATH SITE=FILE python3 bench/days.py alone [PART OF A NAME]
    FLEETBENCH=PATH SITE=FILE python3 bench/days.py pairs --count 20 --seed 7

Days that broke something stand in ``bench/days/``; ``kept`` plays these.  The
others are made here and played from a temporary folder.  Each run ends with a
line that counts the days and names those that broke a rule.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import itertools
import json
import os
import pathlib
import random
import re
import subprocess
import sys
import tempfile

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple


KEPT = pathlib.Path(__file__).parent / "days"
#: How long a day is, in seconds: two rounds of trouble and the time after them.
_LENGTH_S = 28.0
#: When trouble comes, in seconds from the start of traffic.
_TIMES_S = (4.0, 14.0)
#: How long a day may take to play, in seconds.
_PLAY_LIMIT_S = 580
#: Days that are played at one time, of some two cores each.
_AT_ONCE = 3
#: How the bench names the entry that it has written to the journal.
_ENTRY = re.compile(r"^snapshot (\w+)$", re.MULTILINE)
JOURNAL = pathlib.Path("journal")


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
    *_variants("srv_crash", ",dark,gone,joined,joined dark gone", for_s=4.0),
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


def _value(value: float | str) -> str:
    """Return a value as TOML has it."""
    return json.dumps(value)


def _entry(trouble: Trouble, at_s: float) -> str:
    """Return one entry of a day's list."""
    fields: dict[str, float | str] = {"at": at_s, "kind": trouble.kind}
    fields |= trouble.fields
    if trouble.how:
        fields["how"] = trouble.how
    inside = ", ".join(f"{name} = {_value(value)}" for name, value in fields.items())
    return f"  {{ {inside} }},"


def day_text(name: str, troubles: Iterable[Trouble], *, seed: int, closing: str) -> str:
    """Return a day with each of some troubles twice, as TOML."""
    plan: list[str] = []
    faults: list[str] = []
    for number, trouble in enumerate(troubles):
        for at_s in _TIMES_S:
            entry = _entry(trouble, at_s + 0.7 * number)
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


def _alone(part: str) -> Iterator[tuple[str, str]]:
    """Return a day for each trouble whose name holds *part*."""
    for seed, trouble in enumerate(TROUBLES, start=1):
        if part in trouble.name:
            closing = _CLOSINGS[seed % len(_CLOSINGS)]
            text = day_text(trouble.name, [trouble], seed=seed, closing=closing)
            yield trouble.name, text


def _pairs(count: int, seed: int) -> Iterator[tuple[str, str]]:
    """Return days with two troubles each, drawn by a seed."""
    rng = random.Random(seed)
    pairs = list(itertools.combinations(TROUBLES, 2))
    for number, pair in enumerate(rng.sample(pairs, count)):
        name = "--".join(one.name for one in pair)
        closing = rng.choice(_CLOSINGS)
        yield name, day_text(name, pair, seed=seed + number, closing=closing)


class Played(NamedTuple):
    """What came of a day."""

    name: str
    worth: float
    served: float
    #: Broken rules, a fault, or why it was not played.
    broken: tuple[str, ...]


def _outcome(name: str, output: str) -> Played:
    """Return what the journal holds of a day that was played."""
    entry_id = _ENTRY.search(output)
    if entry_id is None:
        return Played(name, 0.0, 0.0, ("not played", *output.splitlines()[-3:]))
    (path,) = JOURNAL.glob(f"*-{entry_id[1]}.json")
    (day,) = json.loads(path.read_text(encoding="utf-8"))["days"]
    broken = [f"{rule}: {what}" for rule, what in day["rules"].items()]
    if day["fault"]:
        broken.append(f"fault: {day['fault']}")
    if day["restarts"]:
        broken.append(f"processes that ended by themselves: {day['restarts']:g}")
    return Played(name, day["G"], day["served"], tuple(broken))


def _play(bench: str, site: str, name: str, path: pathlib.Path) -> Played:
    """Play a day; return what came of it."""
    command = [bench, "run", site, str(path), "--why", f"a day of our own: {name}"]
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=_PLAY_LIMIT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return Played(name, 0.0, 0.0, ("not played in time",))
    return _outcome(name, done.stdout + done.stderr)


def _play_all(bench: str, site: str, days: Mapping[str, pathlib.Path]) -> int:
    """Play days; print each one's line, and which were broken; return how many."""
    broken = []
    with concurrent.futures.ThreadPoolExecutor(_AT_ONCE) as pool:
        plays = [
            pool.submit(_play, bench, site, name, path) for name, path in days.items()
        ]
        for play in concurrent.futures.as_completed(plays):
            played = play.result()
            print(
                f"{played.name}: worth {played.worth:.3f}, served {played.served:.3f}"
            )
            for line in played.broken:
                print(f"    {line}", flush=True)
            if played.broken:
                broken.append(played.name)
    print(f"{len(days)} days, {len(broken)} broke something: {' '.join(broken)}")
    return len(broken)


def main(arguments: Sequence[str]) -> int:
    """Play the days that were asked for; return 1 if one broke something."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("which", choices=("kept", "alone", "pairs"))
    parser.add_argument("part", nargs="?", default="")
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args(arguments)
    bench, site = os.environ["FLEETBENCH"], os.environ["SITE"]
    if asked.which == "kept":
        days = {path.stem: path for path in sorted(KEPT.glob("*.toml"))}
        return int(_play_all(bench, site, days) > 0)
    if asked.which == "alone":
        made = dict(_alone(asked.part))
    else:
        made = dict(_pairs(asked.count, asked.seed))
    with tempfile.TemporaryDirectory() as folder:
        days = {name: pathlib.Path(folder) / f"{name}.toml" for name in made}
        for name, text in made.items():
            days[name].write_text(text, encoding="utf-8")
        return int(_play_all(bench, site, days) > 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
