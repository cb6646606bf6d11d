#!/usr/bin/env bash
# Installs every package that the build, the tests and CI need on a fresh Debian machine.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl python3
  libboost1.81-dev nlohmann-json3-dev prometheus-cpp-dev libcxxopts-dev
  libspdlog-dev librapidcheck-dev libxxhash-dev libmsgpuck-dev liburcu-dev libgtest-dev
  libbenchmark-dev zlib1g-dev libzstd-dev libcurl4-openssl-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
