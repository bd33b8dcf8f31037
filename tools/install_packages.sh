#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need. Can be run repeatedly.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy python3 make
  libcaf-dev libmsgpack-cxx-dev libboost-dev libabsl-dev libgoogle-glog-dev
  libtrompeloeil-cpp-dev catch2 libtomlplusplus-dev librapidcheck-dev libssl-dev nlohmann-json3-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done

# Doesn't use the network if every package is installed, so repeated runs work offline.
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
echo "packages: ${#packages[@]} present"
