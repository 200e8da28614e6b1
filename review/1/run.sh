#!/bin/sh
# Writes record.txt into this folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand-ins ] || { echo "run review/build.sh first"; exit 2; }
[ -x target/release/cairnpaddle ] || { echo "run the build of deploy/system.toml first"; exit 2; }
exec target/review/stand-ins twice review/1
