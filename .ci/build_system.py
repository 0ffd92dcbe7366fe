"""Run `build` of deploy/system.toml in a shell with an empty home directory, as on a clean machine."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 300

deploy_settings = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
with tempfile.TemporaryDirectory() as home:
    environment = {**os.environ, "HOME": home}
    completed = subprocess.run(
        ["/bin/sh", "-c", deploy_settings["build"]], cwd=ROOT, env=environment, timeout=TIMEOUT_S, check=False
    )
if completed.returncode:
    sys.exit(f"deploy/system.toml: build ended with {completed.returncode}")
print("the system is built")
