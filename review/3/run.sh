#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
for role in agent balancer control; do
  if [ ! -x "../../target/src/$role/lychee-$role" ]; then
    echo "build the programs first, as deploy/system.toml says" >&2
    exit 2
  fi
done
exec python3 case.py
