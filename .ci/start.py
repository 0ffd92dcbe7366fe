"""Start `run` and `sim` of deploy/balancer.toml once each, as the platform does."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 60.0
sys.path.insert(0, str(ROOT))


def start_run(command: str) -> None:
    """Check that the sidecar listens, reports readiness, and exits with 0 on SIGTERM."""
    from tests.rig import SETTINGS

    entry = {"id": "h0", "addr": "127.0.0.1:9", "zone": "z", "kind": "k", "state": "Ready"}
    config = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1",
        "known": {"version": 1, "full": True, "servers": [entry]}, "settings": SETTINGS,
    }  # fmt: skip
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        program = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env={**os.environ, "NODE_CONFIG": str(path)},
            stderr=subprocess.PIPE, text=True,
        )  # fmt: skip
        try:
            assert program.stderr is not None
            listening = re.search(r"msg=listening .*address=(\S+)", program.stderr.readline())
            assert listening, "run did not listen"
            give_up_at = time.monotonic() + TIMEOUT_S
            while True:
                try:
                    urllib.request.urlopen(f"http://{listening[1]}/ready", timeout=TIMEOUT_S).close()
                    break
                except OSError:
                    if time.monotonic() > give_up_at:
                        raise
                    time.sleep(0.05)
            program.send_signal(signal.SIGTERM)
            program.communicate(timeout=TIMEOUT_S)
            assert program.returncode == 0, f"run ended with {program.returncode}"
        finally:
            program.kill()


def start_sim(command: str) -> None:
    """Check that the adapter answers an empty batch and exits at the end of its input."""
    completed = subprocess.run(
        ["/bin/sh", "-c", command], cwd=ROOT, input="batch\tclock_ns=1\nend\n",
        capture_output=True, text=True, timeout=TIMEOUT_S, check=True,
    )  # fmt: skip
    assert completed.stdout == "ready\n", completed.stdout


deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
start_run(deploy["run"])
start_sim(deploy["sim"])
print("run and sim started")
