#!/usr/bin/env bash
# Plays the deployments of the regression set on the users' bench and compares them with the journal: meta/regression.sh [--quick].
# FLEETBENCH names the bench's program and DEPLOYMENTS the directory with the deployment files.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 meta/regression.py "$@"
