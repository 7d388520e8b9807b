#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases of the second review into target/review-2. Run it after the
# build of the deploy file, whose libraries it links. It needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Wno-restrict -Isrc -Itests -Ireview/harness-2 $(pkg-config --cflags spdlog libevent_core)"
flags+=" -DMOTHSLIP_PROGRAM=\"$PWD/target/mothslip\""
sources=(review/harness-2/stage.cpp)
for name in answer_history cloud days gangs network nodes rule_checker state_service users worker world; do
  sources+=("tests/sim/$name.cpp")
done
objects=()
pids=()
for source in "${sources[@]}"; do
  object="$out/$(basename "${source%.cpp}").o"
  objects+=("$object")
  g++ $flags -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
for source in review/[4-8]/scenario.cpp; do
  [ -f "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ $flags "$source" "${objects[@]}" -o "$out/case-$number" target/libmothslip_recovery.a \
    target/libmothslip_operator_messages.a target/libmothslip_core.a \
    $(pkg-config --libs libevent_core libevent_extra INIReader spdlog) -lroaring -lpthread &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
echo "built in $out: $(cd "$out" && ls -d case-* | tr '\n' ' ')"
