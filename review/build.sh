#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are written in Python with its standard library alone, so it only
# checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 /usr/bin/env python3 - <<'PYTHON'
import glob
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in glob.glob("standins/*.py") + glob.glob("[1-5]/*.py"):
    with open(name) as file:
        compile(file.read(), name, "exec")
    print("checked", name)
PYTHON
