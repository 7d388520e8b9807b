#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/build. Needs the build of the deploy file
# (target/) and nothing beyond its packages.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/build
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wno-restrict -Isrc -Itests -Ireview)
read -r -a event <<<"$(pkg-config --cflags libevent_core libevent_extra)"
read -r -a libs <<<"$(pkg-config --libs libevent_core libevent_extra INIReader spdlog fmt)"
sources=(tests/sim/{answer_history,cloud,gangs,network,nodes,rule_checker,state_service,users,worker,world}.cpp
         review/harness/*.cpp)
cases=(review/[0-9]*/case.cpp)
objects=()
pids=()
for source in "${sources[@]}" "${cases[@]}"; do
  object="$out/$(tr / _ <<<"${source%.cpp}").o"
  [[ $source == review/[0-9]* ]] || objects+=("$object")
  g++ "${flags[@]}" "${event[@]}" -c "$source" -o "$object" & pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for case in "${cases[@]}"; do
  number=$(basename "$(dirname "$case")")
  g++ "$out/review_${number}_case.o" "${objects[@]}" target/libmothslip_recovery.a \
    target/libmothslip_operator_messages.a target/libmothslip_core.a "${libs[@]}" -lroaring -o "$out/case$number"
done
