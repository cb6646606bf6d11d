#!/usr/bin/env python3
"""The demo: starts a small cluster on loopback, runs jobs, and prints a summary whose last line is JSON."""

import http.client
import json
import statistics
import subprocess
import sys
import time

import cluster as clusters

BASE_PORT = 21000
ENTRIES = 2
AGENTS = 4
SLOTS = 8
JOBS = 300
PROBES = 100
PROBE_MILLISECONDS = 50
MEMORY_LIMIT_BYTES = 128 * 1024 * 1024


def message_count(cluster):
    """Number of messages between the processes so far, without heartbeats."""
    total = 0
    ports = [cluster.entry_admin_port(e) for e in range(ENTRIES)] + [cluster.agent_admin_port(a) for a in range(AGENTS)]
    for port in ports:
        for line in clusters.call("GET", port, "/metrics")[1].decode().splitlines():
            if line.startswith("dandelionspur_messages_to_") and "heartbeat" not in line:
                total += float(line.rsplit(" ", 1)[1])
    return total


def added_latency_ms(cluster):
    """Median ms that entry and agent add to a 50 ms task, compared with interleaved direct calls of the upstream."""
    dispatched, direct = [], []
    body = json.dumps({"sleep_ms": PROBE_MILLISECONDS, "token": "probe"})
    entries = [http.client.HTTPConnection(clusters.LOOPBACK, cluster.caller_port(e)) for e in range(ENTRIES)]
    upstreams = [http.client.HTTPConnection(clusters.LOOPBACK, cluster.upstream_port(a)) for a in range(AGENTS)]

    def timed(connection, path, headers):
        began = time.perf_counter()
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        response.read()
        assert response.status == 200, response.status
        return time.perf_counter() - began

    for probe in range(PROBES):
        key = {"Idempotency-Key": f"probe-{probe}"}
        dispatched.append(timed(entries[probe % ENTRIES], "/v1/services/demo/requests", key))
        direct.append(timed(upstreams[probe % AGENTS], f"/v1/tasks/direct-{probe}", {}))
    return (statistics.median(dispatched) - statistics.median(direct)) * 1000


def main():
    with clusters.Cluster(BASE_PORT, ENTRIES, AGENTS, SLOTS) as cluster:
        print(f"cluster: {ENTRIES} entries, {AGENTS} agents with {SLOTS} slots each")
        added = added_latency_ms(cluster)
        before = message_count(cluster)
        load = subprocess.run(
            [
                clusters.BUILD / "utilities/dandelionspur-load",
                "--entries", ",".join(str(cluster.caller_port(e)) for e in range(ENTRIES)),
                "--fleet", ",".join([f"{SLOTS}x1"] * AGENTS),
                "--jobs", str(JOBS), "--utilization", "0.6", "--largest-job", "30", "--resubmitted", "0.1", "--json",
            ],
            capture_output=True, text=True, timeout=300,
        )
        if load.returncode != 0:
            print(load.stdout, load.stderr, cluster.logs(), file=sys.stderr)
            return 1
        summary = json.loads(load.stdout)
        summary["messages_per_task"] = (message_count(cluster) - before) / summary["tasks"]
        summary["double_starts"] = cluster.double_starts()
        summary["added_ms_p50"] = added
        summary["entry_resident_bytes"] = max(cluster.entries[e].resident_bytes() for e in range(ENTRIES))
    for name in sorted(summary):
        print(f"{name:24} {summary[name]}")
    print(json.dumps(summary))
    passed = (
        summary["double_starts"] == 0
        and summary["complete"] == summary["jobs"]
        and summary["entry_resident_bytes"] < MEMORY_LIMIT_BYTES
    )
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
