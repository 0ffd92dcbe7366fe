"""Run `build` of deploy/system.toml the way a clean machine does: by a shell, with an empty home folder."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 300

deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
with tempfile.TemporaryDirectory() as home:
    environment = {**os.environ, "HOME": home}
    done = subprocess.run(
        ["/bin/sh", "-c", deploy["build"]], cwd=ROOT, env=environment, timeout=TIMEOUT_S, check=False
    )
if done.returncode:
    sys.exit(f"deploy/system.toml: build ended with {done.returncode}")
print("the system is built")
