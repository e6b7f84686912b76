#!/usr/bin/env bash
# Builds the stand-ins and the tests of all cases. They need nothing but the JDK. The project's own
# program is built by the deploy file's build line before this; no stand-in of it is started.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
javac -d build common/*.java $(find . -path ./build -prune -o -name 'Case*.java' -print)
