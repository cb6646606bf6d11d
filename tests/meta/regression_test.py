#!/usr/bin/env python3
"""Tests how meta/regression.py compares a run with the journal."""

import argparse
import os
import pathlib
import subprocess
import sys
import unittest

META = pathlib.Path(__file__).resolve().parent.parent.parent / "meta"
sys.path.insert(0, str(META))
import regression


def score(identifier, days, mode="quick", argv=(), ok=True):
    """A journal entry of one score; `days` maps a name to (worth, whether the gate was passed)."""
    return {
        "id": identifier,
        "cmd": "score",
        "head": "0123456789abcdef",
        "site": "some-deployment",
        "mode": mode,
        "argv": list(argv),
        "ok": ok,
        "days": [{"name": name, "G": worth, "gate": gate} for name, (worth, gate) in days.items()],
    }


class ComparisonTest(unittest.TestCase):
    # Guards against a fall that goes unnoticed, and against noise that is reported as one.
    def test_days_that_fell(self):
        cases = [
            ("unchanged", 0.80, 0.80, False),
            ("within the noise", 0.80, 0.775, False),
            ("fell", 0.80, 0.76, True),
            ("rose", 0.80, 0.95, False),
        ]
        for name, before, now, expected in cases:
            with self.subTest(name):
                rows = regression.compare(score("a", {"day": (before, True)}), score("b", {"day": (now, True)}))
                self.assertEqual([fell for _, _, _, fell in rows], [expected])

    # Guards against comparing days that were drawn for one run only.
    def test_drawn_days_are_left_out(self):
        played = score("b", {"quiet-1": (0.9, True), "fresh-12ab": (0.1, True)})
        self.assertEqual([day for day, *_ in regression.compare(None, played)], ["quiet-1"])

    # Guards against comparing a quick score with a full one, a small twin with the whole fleet, or with a run that failed.
    def test_only_runs_of_the_same_kind_are_compared(self):
        played = score("now", {"day": (0.5, True)})
        entries = [
            score("same", {"day": (0.6, True)}),
            score("full", {"day": (0.9, True)}, mode="full"),
            score("twin", {"day": (0.9, True)}, argv=["--small"]),
            score("cut off", {"day": (0.9, True)}, ok=False),
        ]
        self.assertEqual(regression.latest_comparable(entries, played)["id"], "same")

    # Guards against a gate that failed on a day whose worth did not fall.
    def test_a_failed_gate_does_not_hold(self):
        before = score("a", {"day": (0.8, True)})
        self.assertFalse(regression.report("d", before, score("b", {"day": (0.8, False)})))
        self.assertTrue(regression.report("d", before, score("b", {"day": (0.8, True)})))


class PlaysTest(unittest.TestCase):
    # Guards against a deployment that is left out of the regression runs, and against one that is played although it isn't in force.
    def test_deployments_of_the_set(self):
        self.assertEqual(
            set(regression.REGRESSION_SET),
            {
                "sites/vlc-trek.toml",
                "sites/vonglua-prod.toml",
                "grown/vlc-trek-grown.toml",
                "grown/vonglua-prod-grown.toml",
                "large/vlc-trek-large.toml",
            },
        )

    # Guards against a large deployment that is played whole only, and against a quick run that takes hours.
    def test_the_large_deployment_is_always_played_as_small_twins_too(self):
        large = "large/vlc-trek-large.toml"
        cases = [("all days", False, [(large, False), (large, True)]), ("quick", True, [(large, True)])]
        for name, quick, expected in cases:
            with self.subTest(name):
                plays = [(play.deployment, play.small) for play in regression.plays_of(quick)]
                self.assertEqual([play for play in plays if play[0] == large], expected)
                others = [play for play in plays if play[0] != large]
                self.assertEqual(others, [(name, False) for name in regression.REGRESSION_SET if name != large])

    # Guards against a play of small twins whose command plays the whole fleet, or the other way round.
    def test_command_of_a_play(self):
        options = argparse.Namespace(quick=True, jobs=2, reason="a reason")
        cases = [
            ("whole", False, ["bench", "score", "x.toml", "--jobs", "2", "--why", "a reason", "--quick"]),
            ("small twins", True, ["bench", "score", "x.toml", "--jobs", "2", "--why", "a reason", "--quick", "--small"]),
        ]
        for name, small, expected in cases:
            with self.subTest(name):
                self.assertEqual(regression.command_of("bench", pathlib.Path("x.toml"), small, options), expected)


class CommandTest(unittest.TestCase):
    # Guards against a run without the bench that looks like a success.
    def test_missing_bench_is_said(self):
        environment = {name: value for name, value in os.environ.items() if name not in ("FLEETBENCH", "DEPLOYMENTS")}
        run = subprocess.run([META / "regression.sh", "--quick"], env=environment, capture_output=True, text=True)
        self.assertEqual(run.returncode, regression.CANNOT_RUN)
        self.assertIn("the bench isn't here", run.stdout)


if __name__ == "__main__":
    unittest.main()
