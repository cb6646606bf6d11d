#!/usr/bin/env python3
"""Measures how costs grow with size, in benchmarks and in idle and loaded processes. Writes one JSON file."""

import json
import pathlib
import subprocess
import sys
import time

import cluster as clusters

BASE_PORT = 27000
IDLE_SECONDS = 4
AGENT_COUNTS = [4, 12, 36]
JOB_COUNTS = [60, 120, 240]
ENTRIES = 3
SLOTS = 8


def fit(points):
    """Least squares; returns slope, intercept and r squared."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sxx = sum((x - mean_x) ** 2 for x, _ in points)
    sxy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    syy = sum((y - mean_y) ** 2 for _, y in points)
    slope = sxy / sxx
    r_squared = 1.0 if syy == 0 else sxy * sxy / (sxx * syy)
    return {"points": points, "slope": slope, "intercept": mean_y - slope * mean_x, "r_squared": r_squared}


def benchmarks():
    run = subprocess.run(
        [clusters.BUILD / "tests/core_benchmark", "--benchmark_format=json"], capture_output=True, text=True, check=True
    )
    rows = {row["name"]: row for row in json.loads(run.stdout)["benchmarks"]}
    by_size = lambda name, read: [
        (int(key.split("/")[1]), read(row)) for key, row in rows.items() if key.startswith(name + "/")
    ]
    return {
        "decide_us_per_task_over_upstreams": fit(by_size("DecideTask", lambda row: row["per_task"] * 1e6)),
        "agent_bytes_over_remembered_tasks": fit(
            by_size("RememberTask", lambda row: row["bytes_per_task"] * int(row["name"].split("/")[1]))
        ),
        "takeover_ms_over_remembered_tasks": fit(by_size("TakeOver", lambda row: row["real_time"])),
        "recorded_bytes_of_a_finished_task": rows["RecordTask"]["bytes_per_task"],
        "encode_and_decode_start_us": rows["CodeStart"]["cpu_time"] / 1000,
        "start_bytes_with_100_byte_body": rows["CodeStart"]["bytes"],
    }


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def idle():
    """Processor time and resident memory of idle processes over the number of agents."""
    entry_cpu, agent_cpu, entry_memory, agent_memory = [], [], [], []
    for i, agents in enumerate(AGENT_COUNTS):
        with clusters.Cluster(BASE_PORT + 300 * i, ENTRIES, agents, SLOTS) as cluster:
            time.sleep(1)
            cpu = lambda processes: mean(process.cpu_seconds() for process in processes)
            before = cpu(cluster.entries), cpu(cluster.agents)
            time.sleep(IDLE_SECONDS)
            entry_cpu.append((agents, (cpu(cluster.entries) - before[0]) / IDLE_SECONDS))
            agent_cpu.append((agents, (cpu(cluster.agents) - before[1]) / IDLE_SECONDS))
            entry_memory.append((agents, mean(process.resident_bytes() for process in cluster.entries)))
            agent_memory.append((agents, mean(process.resident_bytes() for process in cluster.agents)))
    return {
        "entry_idle_cores_over_agents": fit(entry_cpu),
        "agent_idle_cores_over_agents": fit(agent_cpu),
        "entry_resident_bytes_over_agents": fit(entry_memory),
        "agent_resident_bytes_over_agents": fit(agent_memory),
    }


def loaded():
    """Processor time over the number of tasks, summed over all processes of a role, less their idle processor time."""
    agents = 4
    entry_cpu, agent_cpu = [], []
    with clusters.Cluster(BASE_PORT + 2000, ENTRIES, agents, SLOTS) as cluster:
        total = lambda processes: sum(process.cpu_seconds() for process in processes)
        time.sleep(1)
        idle_before, idle_began = (total(cluster.entries), total(cluster.agents)), time.monotonic()
        time.sleep(IDLE_SECONDS)
        idle_time = time.monotonic() - idle_began
        idle_rate = [(total(p) - b) / idle_time for p, b in zip((cluster.entries, cluster.agents), idle_before)]
        for number, jobs in enumerate(JOB_COUNTS):
            before, began = (total(cluster.entries), total(cluster.agents)), time.monotonic()
            load = subprocess.run(
                [
                    clusters.BUILD / "utilities/dandelionspur-load",
                    "--entries", ",".join(str(cluster.caller_port(e)) for e in range(ENTRIES)),
                    "--fleet", ",".join([f"{SLOTS}x1"] * agents), "--jobs", str(jobs), "--utilization", "0.8",
                    "--largest-job", "60", "--key-prefix", f"slope-{number}", "--json",
                ],
                capture_output=True, text=True, timeout=300, check=True,
            )
            elapsed = time.monotonic() - began
            tasks = json.loads(load.stdout)["tasks"]
            entry_cpu.append((tasks, total(cluster.entries) - before[0] - idle_rate[0] * elapsed))
            agent_cpu.append((tasks, total(cluster.agents) - before[1] - idle_rate[1] * elapsed))
    return {"entry_seconds_over_tasks": fit(entry_cpu), "agent_seconds_over_tasks": fit(agent_cpu)}


def main():
    slopes = {**benchmarks(), **idle(), **loaded()}
    text = json.dumps(slopes, indent=1)
    pathlib.Path(sys.argv[1]).write_text(text + "\n")
    for name, value in slopes.items():
        print(name, value if not isinstance(value, dict) else {k: v for k, v in value.items() if k != "points"})


if __name__ == "__main__":
    main()
