#!/usr/bin/env bash
# Compiles the stand-ins and tests of the second review, against target/kitepath.jar, into
# review/common-2/build. To be run after the build of the deploy file. The project's own stand-ins
# are in that jar.
set -euo pipefail
cd "$(dirname "$0")/.."
jar=target/kitepath.jar
out=review/common-2/build
if [ ! -f "$jar" ]; then
    echo "review/build-2.sh: $jar is missing; run the build of deploy/service.toml first" >&2
    exit 1
fi
rm -rf "$out"
mkdir -p "$out"
sources=(review/common-2/*.java)
for folder in review/4 review/5 review/6; do
    for file in "$folder"/*.java; do
        if [ -f "$file" ]; then
            sources+=("$file")
        fi
    done
done
javac -nowarn -encoding UTF-8 -cp "$jar" -d "$out" "${sources[@]}"
echo "compiled ${#sources[@]} files into $out"
