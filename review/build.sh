#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins are Python files that need only
# the packages of the deploy file's build, so this compiles them.
set -euo pipefail
cd "$(dirname "$0")/.."
command=$(python3 - <<'PY'
import tomllib
print(tomllib.load(open('deploy/system.toml', 'rb'))['build'])
PY
)
[ -d target/deps ] || bash -c "$command"
PYTHONPATH=target/deps python3 -m compileall -q review platform/src/geranium_platform_standins
