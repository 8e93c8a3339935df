#!/usr/bin/env python3
"""Runs the same bench days and seeds on two checkouts and prints the paired differences.

The bench is a program outside the project; its path is an argument. A site file defines the days of a site. The bench
runs one day of it with a seed and reports the worth of the run. Each run adds an entry to the journal of its own
checkout. Example:

    tools/paired_days.py --bench ../bench --site a.toml --site b.toml --seeds 1,2 --why "waits for memory" BASE .

For each site and day, prints the mean worth for both checkouts and the mean difference with its standard error. Then
prints the parts, and the prices that differ, in units of worth.
"""

import argparse
import concurrent.futures
import json
import math
import os
import re
import statistics
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field

TROUBLE_SLOTS_EXCLUDED = {"quiet"}
"""Days in these slots of a site file are skipped unless --quiet is given."""


@dataclass(frozen=True)
class Play:
    """One run of the bench: a day of a site with a seed. `seed` is None for the day's own seed."""

    site: str
    day: str
    seed: int | None


@dataclass
class Outcome:
    """The results that the bench reported for one run."""

    worth: float = 0.0
    unserved: float = 0.0
    amounts: dict[str, float] = field(default_factory=dict)  # parts and prices by name, in units of worth
    rules_broken: list[str] = field(default_factory=list)


def standard_days(site: str, with_quiet: bool) -> list[str]:
    """Returns the names of the standard days in a site file."""
    days = []
    with open(site, encoding="utf-8") as lines:
        text = lines.read()
    for block in text.split("[[day]]")[1:]:
        name = re.search(r'^name = "([^"]+)"', block, re.MULTILINE)
        slot = re.search(r'^slot = "([^"]+)"', block, re.MULTILINE)
        if name and (with_quiet or not slot or slot.group(1) not in TROUBLE_SLOTS_EXCLUDED):
            days.append(name.group(1))
    return days


def read_outcome(path: str) -> Outcome:
    """Reads the report file of one run."""
    with open(path, encoding="utf-8") as file:
        report = json.load(file)
    amounts = {}
    for part in report["parts"]:
        name, value, weight = part[0], float(part[1]), float(part[2])
        amounts["part: " + name] = value * weight
    for price in report["prices"]:
        amounts["price: " + str(price[0])] = -float(price[2])
    breaks = report.get("breaks") or {}
    return Outcome(float(report["G"]), float(report["unserved"]), amounts, sorted(breaks))


def play_day(bench: str, checkout: str, play: Play, arguments: argparse.Namespace) -> Outcome | None:
    """Runs one day. If the bench wrote no report, prints its output to standard error and returns None."""
    with tempfile.TemporaryDirectory() as folder:
        report = os.path.join(folder, "report.json")
        command = [bench, "run", os.path.abspath(play.site), play.day, "--report", report, "--why", arguments.why]
        if play.seed is not None:
            command += ["--seed", str(play.seed)]
        if not arguments.cpu:
            command.append("--no-cpu")
        run = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
        if not os.path.exists(report):
            print(f"no report: {checkout} {play}: {run.stdout[-300:]}{run.stderr[-300:]}", file=sys.stderr)
            return None
        return read_outcome(report)


def spread(values: list[float]) -> str:
    """Formats the mean of some differences and, if there are at least two, its standard error."""
    mean = statistics.fmean(values)
    if len(values) < 2:
        return f"{mean:+.4f}"
    return f"{mean:+.4f} +- {statistics.stdev(values) / math.sqrt(len(values)):.4f}"


def print_site(site: str, plays: list[Play], base: dict[Play, Outcome], changed: dict[Play, Outcome]) -> None:
    """Prints the comparison for one site."""
    both = [play for play in plays if play.site == site and base.get(play) and changed.get(play)]
    if not both:
        print(f"{site}: no run succeeded on both checkouts")
        return
    print(f"\n{os.path.basename(site)}: {len(both)} pairs")
    for day in sorted({play.day for play in both}):
        pairs = [(base[play], changed[play]) for play in both if play.day == day]
        before = statistics.fmean(pair[0].worth for pair in pairs)
        after = statistics.fmean(pair[1].worth for pair in pairs)
        print(f"  {day:12} {before:.3f} -> {after:.3f}  {spread([b.worth - a.worth for a, b in pairs])}")
    before = statistics.fmean(base[play].worth for play in both)
    after = statistics.fmean(changed[play].worth for play in both)
    print(f"  {'mean':12} {before:.3f} -> {after:.3f}  {spread([changed[p].worth - base[p].worth for p in both])}")
    lost = [statistics.fmean(side[play].unserved for play in both) for side in (base, changed)]
    print(f"  {'unserved':12} {lost[0]:.4f} -> {lost[1]:.4f}")
    names = {name for play in both for name in base[play].amounts}
    rows = []
    for name in names:
        old = statistics.fmean(base[play].amounts.get(name, 0.0) for play in both)
        new = statistics.fmean(changed[play].amounts.get(name, 0.0) for play in both)
        rows.append((abs(new - old), name, old, new))
    for difference, name, old, new in sorted(rows, reverse=True):
        if difference >= 0.0005 or name.startswith("part"):
            print(f"    {name:52} {old:+.4f} -> {new:+.4f}  {new - old:+.4f}")
    for label, side in (("base", base), ("changed", changed)):
        for play in both:
            if side[play].rules_broken:
                print(f"  RULES BROKEN by {label}: {play.day} seed {play.seed}: {side[play].rules_broken}")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("base", help="checkout to compare with")
    parser.add_argument("changed", help="checkout with the change")
    parser.add_argument("--bench", required=True, help="path of the bench program")
    parser.add_argument("--site", action="append", required=True, help="site file; may be given more than once")
    parser.add_argument("--days", default="", help="comma-separated days; default: all except the quiet ones")
    parser.add_argument("--quiet", action="store_true", help="include the quiet days")
    parser.add_argument("--seeds", default="", help="comma-separated seeds; default: each day's own")
    parser.add_argument("--jobs", type=int, default=4, help="number of parallel runs")
    parser.add_argument("--cpu", action="store_true", help="charge processor time; results then depend on the machine")
    parser.add_argument("--why", required=True, help="reason for the runs, for the journal entry")
    parser.add_argument("--keep", default="", help="file that caches the base results between invocations")
    arguments = parser.parse_args()

    bench = os.path.abspath(arguments.bench)
    seeds = [int(seed) for seed in arguments.seeds.split(",") if seed] or [None]
    plays = [
        Play(site, day, seed)
        for site in arguments.site
        for day in (arguments.days.split(",") if arguments.days else standard_days(site, arguments.quiet))
        for seed in seeds
    ]
    for checkout in {arguments.base, arguments.changed}:
        built = subprocess.run([bench, "build"], cwd=checkout, capture_output=True, text=True, check=False)
        if built.returncode != 0:
            print(f"{checkout} does not build:\n{built.stdout[-2000:]}{built.stderr[-2000:]}", file=sys.stderr)
            return 1
    kept = load_kept(arguments.keep)
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        changed_runs = {play: pool.submit(play_day, bench, arguments.changed, play, arguments) for play in plays}
        base_runs = {
            play: pool.submit(play_day, bench, arguments.base, play, arguments) for play in plays if play not in kept
        }
    base = {**kept, **{play: run.result() for play, run in base_runs.items()}}
    changed = {play: run.result() for play, run in changed_runs.items()}
    save_kept(arguments.keep, base)
    for site in arguments.site:
        print_site(site, plays, base, changed)
    return 0


def load_kept(path: str) -> dict[Play, Outcome]:
    """Loads the results of the base checkout that an earlier invocation saved."""
    if not path or not os.path.exists(path):
        return {}
    with open(path, encoding="utf-8") as file:
        return {Play(**entry["play"]): Outcome(**entry["outcome"]) for entry in json.load(file)}


def save_kept(path: str, base: dict[Play, Outcome | None]) -> None:
    """Saves the results of the base checkout for later invocations."""
    if not path:
        return
    entries = [
        {"play": vars(play), "outcome": vars(outcome)} for play, outcome in base.items() if outcome is not None
    ]
    with open(path, "w", encoding="utf-8") as file:
        json.dump(entries, file)


if __name__ == "__main__":
    sys.exit(main())
