#!/usr/bin/env python3
"""Plays the standard days of the regression set and compares each day with the latest committed run of the same kind.

usage: regression.py [--quick] [--jobs N] [--reason TEXT]
The environment variable FLEETBENCH names the bench's program, DEPLOYMENTS the directory with the deployment files.
Exit code: 0 if nothing fell by more than 0.03, 1 if something did or a gate failed, 2 if the bench can't be run.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
# Below the directory DEPLOYMENTS. Deployments that aren't in force have no scores and are not in the set.
REGRESSION_SET = [
    "sites/vlc-trek.toml",
    "sites/vonglua-prod.toml",
    "grown/vlc-trek-grown.toml",
    "grown/vonglua-prod-grown.toml",
    "large/vlc-trek-large.toml",
]
# Always played as small twins, and whole too without --quick, since a day of the whole fleet takes minutes.
LARGE = {"large/vlc-trek-large.toml"}
# Differences up to this one are noise, say the users.
ALLOWED_FALL = 0.03
CANNOT_RUN = 2


class Play(typing.NamedTuple):
    """One score of the regression set."""

    deployment: str
    small: bool


def plays_of(quick):
    """The plays of the regression set, in the order in which they are run."""
    plays = []
    for deployment in REGRESSION_SET:
        if deployment not in LARGE or not quick:
            plays.append(Play(deployment, small=False))
        if deployment in LARGE:
            plays.append(Play(deployment, small=True))
    return plays


def committed_entries():
    """The journal entries of the last commit, oldest first."""
    names = subprocess.run(
        ["git", "ls-tree", "--name-only", "HEAD", "journal/"], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.split()
    return [json.loads((ROOT / name).read_text()) for name in sorted(names) if name.endswith(".json") and (ROOT / name).exists()]


def kind_of(entry):
    """What makes two score entries comparable: the deployment, the choice of days, and whether small twins were played."""
    return entry.get("site"), entry.get("mode"), "--small" in entry.get("argv", [])


def worth_by_day(entry):
    """The worth of each standard day. Days that were drawn for one run can't be compared and are left out."""
    return {day["name"]: day["G"] for day in entry.get("days") or [] if not day["name"].startswith("fresh-")}


def latest_comparable(entries, played):
    """The newest of `entries` of the same kind as `played` that was completed, or None."""
    comparable = [entry for entry in entries if entry["cmd"] == "score" and entry.get("ok") and kind_of(entry) == kind_of(played)]
    return comparable[-1] if comparable else None


def compare(before, played):
    """The rows (day, worth before or None, worth now, whether it fell too far)."""
    earlier = worth_by_day(before) if before else {}
    rows = []
    for day, worth in worth_by_day(played).items():
        known = earlier.get(day)
        rows.append((day, known, worth, known is not None and worth < known - ALLOWED_FALL))
    return rows


def failed_days(entry):
    """The days on which a rule was broken or the gate was not passed."""
    return [day["name"] for day in entry.get("days") or [] if not day["gate"]]


def command_of(bench, deployment, small, options):
    """The command of one score."""
    command = [bench, "score", str(deployment), "--jobs", str(options.jobs), "--why", options.reason]
    if options.quick:
        command.append("--quick")
    if small:
        command.append("--small")
    return command


def play(bench, deployment, small, options):
    """Runs one score and returns its journal entry, or None if the bench wrote none."""
    present = set(JOURNAL.glob("*.json"))
    command = command_of(bench, deployment, small, options)
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    written = sorted(set(JOURNAL.glob("*.json")) - present)
    if not written:
        print(run.stdout[-2000:], run.stderr[-2000:], file=sys.stderr)
        return None
    return json.loads(written[-1].read_text())


def report(name, before, played):
    """Prints the table of one play. Returns whether it holds."""
    reference = f"{before['id']} ({before['head'][:8]})" if before else "none"
    print(f"{name}: journal {played['id']}, compared with {reference}")
    holds = True
    for day, known, worth, fell in compare(before, played):
        print(f"  {day:12} {'-' if known is None else format(known, '6.3f'):>6} -> {worth:6.3f}{'  FELL' if fell else ''}")
        holds = holds and not fell
    failed = failed_days(played)
    if failed or not played.get("ok"):
        print(f"  GATE FAILED: {', '.join(failed) or played.get('error')}")
        holds = False
    return holds


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--quick", action="store_true", help="only the light days; the large deployment only as small twins")
    parser.add_argument("--jobs", type=int, default=2, help="days that are played at the same time")
    parser.add_argument("--reason", default="regression set", help="a line for the journal")
    options = parser.parse_args()
    bench = os.environ.get("FLEETBENCH", "")
    deployments = pathlib.Path(os.environ.get("DEPLOYMENTS", "")).resolve()
    missing = [name for name in REGRESSION_SET if not (deployments / name).is_file()]
    if not os.access(bench, os.X_OK) or missing:
        print("regression: the bench isn't here: set FLEETBENCH to its program and DEPLOYMENTS to the directory of the deployment files")
        return CANNOT_RUN
    committed = committed_entries()
    fallen = []
    plays = plays_of(options.quick)
    for deployment, small in plays:
        name = f"{deployment} (small twins)" if small else deployment
        played = play(os.path.abspath(bench), deployments / deployment, small, options)
        if played is None or not report(name, latest_comparable(committed, played), played):
            fallen.append(name)
    print(f"regression: {len(plays) - len(fallen)} hold, {len(fallen)} fell or failed{': ' + ', '.join(fallen) if fallen else ''}")
    return 1 if fallen else 0


if __name__ == "__main__":
    sys.exit(main())
