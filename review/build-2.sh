#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Run it after the
# build of the deploy file: it links the libraries that this leaves in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT"
FLAGS=(-std=c++20 -O1 -DASIO_DISABLE_STD_STRING_VIEW -DASIO_HAS_STD_CHRONO -DASIO_STANDALONE
  -DFMT_SHARED -DGFLAGS_IS_A_DLL=0 -DGLOG_CUSTOM_PREFIX_SUPPORT
  -Isrc -Iinclude -Iplatform -Itests -Ireview/standin-2)
SOURCES=(review/standin-2/Cases.cpp review/standin-2/CaseWorkers.cpp tests/soak/Callers.cpp
  tests/soak/EntryProcess.cpp tests/soak/Ledger.cpp tests/adapter/FakePlatform.cpp)
PARTS=(adapter dispatch settings store codec net jobs core)
OBJECTS=()
PIDS=()
for SOURCE in "${SOURCES[@]}"; do
  OBJECT=$OUT/$(basename "$SOURCE" .cpp).o
  OBJECTS+=("$OBJECT")
  g++ "${FLAGS[@]}" -c "$SOURCE" -o "$OBJECT" &
  PIDS+=($!)
done
for PID in "${PIDS[@]}"; do
  wait "$PID"
done
LIBRARIES=()
for PART in "${PARTS[@]}"; do
  LIBRARIES+=("target/libcomfreydeck_$PART.a")
done
g++ "${OBJECTS[@]}" -o "$OUT/cases" "${LIBRARIES[@]}" -lprometheus-cpp-core -lfmt -lhttp_parser \
  -lcurl -lssl -lcrypto -lglog -lgflags -lsodium -lpthread
