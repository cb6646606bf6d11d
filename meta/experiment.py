#!/usr/bin/env python3
"""Compares scheduling policies on the users' workload mix, in paired and interleaved runs on one loopback cluster.

usage: experiment.py [--utilization U] [--jobs N] [--rounds R] [--seed S] [--policies a,b,...]
Prints a table and, as the last line, JSON. docs/measurement.md defines the ideal and the wasted messages.
"""

import argparse
import json
import re
import statistics
import subprocess
import sys
import time

import cluster as clusters

BASE_PORT = 25000
ENTRIES = 3
SLOTS = 8
SLOWNESS = [1.0, 1.0, 1.0, 1.5, 1.5, 2.0, 2.0, 3.0, 3.0, 4.0]
FLEET = ",".join(f"{SLOTS}x{slowness}" for slowness in SLOWNESS)
# Message kinds that every task or job requires. All other messages except heartbeats count as wasted.
REQUIRED_KINDS = {"start", "task_finished", "relay", "relay_answer", "witness_request", "witness_reply"}
HEARTBEAT_KINDS = {"agent_heartbeat", "peer_heartbeat"}
POLICIES = {
    "ours": ("fastest_free", "shortest_remaining"),
    "fifo": ("fastest_free", "first_in_first_out"),
    "random": ("random", "shortest_remaining"),
    "random_fifo": ("random", "first_in_first_out"),
    "round_robin": ("round_robin", "shortest_remaining"),
    "two_choices": ("two_choices", "shortest_remaining"),
}


def message_counts(cluster):
    counts = {}
    ports = [cluster.entry_admin_port(e) for e in range(ENTRIES)] + [cluster.agent_admin_port(a) for a in range(len(SLOWNESS))]
    for port in ports:
        text = clusters.call("GET", port, "/metrics")[1].decode()
        for kind, count in re.findall(r'^dandelionspur_messages_to_\w+\{kind="(\w+)"\} (\S+)', text, re.MULTILINE):
            counts[kind] = counts.get(kind, 0) + float(count)
    return counts


def run(cluster, policy, version, options, seed):
    placement, order = POLICIES[policy]
    text = (clusters.ROOT / "examples/service.json").read_text()
    text = text.replace('"fastest_free",\n', f'"{placement}",\n').replace('"shortest_remaining",\n', f'"{order}",\n')
    status, _ = cluster.apply_document(text, base_version=version, change_id=f"run-{version}")
    assert status == 200, status
    time.sleep(1.5)
    before = message_counts(cluster)
    load = subprocess.run(
        [
            clusters.BUILD / "utilities/dandelionspur-load",
            "--entries", ",".join(str(cluster.caller_port(e)) for e in range(ENTRIES)),
            "--fleet", FLEET, "--jobs", str(options.jobs), "--utilization", str(options.utilization),
            "--seed", str(seed), "--key-prefix", f"run-{version}", "--largest-job", "100", "--declared-error", "10", "--burst", "5", "--json",
        ],
        capture_output=True, text=True, timeout=580,
    )
    summary = json.loads(load.stdout)
    after = message_counts(cluster)
    delta = {kind: after[kind] - before.get(kind, 0) for kind in after}
    wasted = {k: v for k, v in delta.items() if v and k not in REQUIRED_KINDS | HEARTBEAT_KINDS}
    summary["wasted_per_task"] = sum(wasted.values()) / summary["tasks"]
    summary["wasted_by_kind"] = {k: v / summary["tasks"] for k, v in sorted(wasted.items())}
    summary["messages_per_task"] = sum(v for k, v in delta.items() if k not in HEARTBEAT_KINDS) / summary["tasks"]
    return summary


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--utilization", type=float, default=0.7)
    parser.add_argument("--jobs", type=int, default=200)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policies", default="ours,random,fifo,two_choices")
    options = parser.parse_args()
    policies = options.policies.split(",")
    results = {policy: [] for policy in policies}
    with clusters.Cluster(BASE_PORT, ENTRIES, len(SLOWNESS), SLOTS, SLOWNESS) as cluster:
        version = 1
        for round_number in range(options.rounds):
            for policy in policies:
                # All policies of a round run the same planned jobs.
                results[policy].append(run(cluster, policy, version, options, options.seed + round_number))
                version += 1
        double_starts = cluster.double_starts()
    names = ["response_ratio_p50", "response_ratio_p99", "loaded_ratio_p50", "loaded_ratio_p99", "wasted_per_task"]
    print(f"{'policy':14}" + "".join(f"{name:>22}" for name in names))
    for policy in policies:
        row = f"{policy:14}"
        for name in names:
            values = [result[name] for result in results[policy]]
            row += f"{statistics.mean(values):10.3f} +-{(max(values) - min(values)) / 2:8.3f} "
        print(row)
    print(f"double starts: {double_starts}")
    print(json.dumps({"options": vars(options), "double_starts": double_starts, "results": results}))
    return 0 if double_starts == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
