#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are Python and need nothing
# but the packages that the build of the deploy file places under target/deps.
cd "$(dirname "$0")/.." || exit 2
set -e
test -d target/deps/aiohttp
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast
import pathlib

import aiohttp

for path in sorted(pathlib.Path('review').glob('[0-9]*/case.py')):
    ast.parse(path.read_text())
ast.parse(pathlib.Path('review/stage.py').read_text())
PYTHON
