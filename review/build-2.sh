#!/bin/sh
# Checks and compiles the stand-ins of the cases 6 to 10. They use the standard
# library of Python 3.11 only; the nodes use what the deploy file builds.
cd "$(dirname "$0")/.." || exit 2
for folder in review/common2 review/6 review/7 review/8 review/9; do
  [ -d "$folder" ] || continue
  python3 -m compileall -q "$folder" || exit 1
done
