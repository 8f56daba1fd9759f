#!/bin/sh
# Builds the stand-ins that the scripts of review/4, review/5 and review/6 start.  They are Python modules without
# dependencies, so this only checks that they compile; the programs come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
for name in ("rig.py", "4/case.py", "5/case.py", "6/case.py"):
    with open(name, encoding="utf-8") as text:
        compile(text.read(), name, "exec")
CHECK
