"""A first start at which the operator's list names machines that serve `controller` but keep nothing."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from fleet import BOUNDS, TROUBLE, Closed, Deployment, Record, Sidecar, call, configuration, main, route  # noqa: E402

CORES, EDGES = [1, 2, 3], [11, 12, 13]
HOST = "ficu95.example"
LEAD_S = 12.0  # sheet of the site: traffic starts 12 s after the machines do
WATCHED_S = 40.0  # over three times recovery_s


def case(deployment: Deployment, record: Record) -> bool | None:
    d = deployment
    sidecar = Sidecar(f"{d.ip(101)}:{d.sidecar_port}", "i-1", "desk", "atl-capitol", record)
    d.platform.entries = [sidecar.entry()]
    # Six machines serve `controller`: three of the core, and one edge machine a zone (deploy/system.toml).
    named = [CORES[0], EDGES[0], EDGES[1]] if TROUBLE else CORES
    d.seeds = [f"{d.ip(host)}:{d.control}" for host in named]
    record(f"the seeds of all processes: {', '.join(d.seeds)}")
    for host, zone in zip(CORES, d.ZONES, strict=True):
        d.start(f"core-{host}", "controller", host, zone)
    for host, zone in zip(EDGES, d.ZONES, strict=True):
        d.start(f"edge-{host}-gateway", "gateway", host, zone, f"edge-{host}")
        d.start(f"edge-{host}-member", "member", host, zone, f"edge-{host}")
    begun = time.monotonic()
    body = json.dumps(configuration(1, [route("r-first", "/first/", "desk")], ["desk"])).encode()
    acknowledged_s = 0.0
    served = sent = 0
    while time.monotonic() - begun < LEAD_S + WATCHED_S:
        if not acknowledged_s:
            status = d.order([*CORES, *EDGES], "PUT", "/api/config", body, 0, 3)
            if status == 200:
                acknowledged_s = time.monotonic() - begun
                record(f"the first configuration is acknowledged {acknowledged_s:.1f} s after the start")
        if time.monotonic() - begun > LEAD_S:
            for host in EDGES:
                sent += 1
                served += d.request(host, HOST, "/first/1")[0] == 200
        if served >= 30:
            break
        time.sleep(0.3)
    for host in CORES:
        try:
            status = json.loads(call(f"{d.ip(host)}:{d.control}", "GET", "/api/status")[2])
            record(f"core-{host}: {status['role']}, term {status['term']}, members {len(status['members'])}")
        except (OSError, Closed, ValueError) as error:
            record(f"core-{host}: no status ({error!r})")
    alive = [name for name, process in d.processes.items() if process.poll() is None]
    record(f"{len(alive)} of {len(d.processes)} processes run; {served} of {sent} requests were served")
    if len(alive) < len(d.processes):
        return None
    is_late = not acknowledged_s or acknowledged_s > LEAD_S + BOUNDS["ack_ms"] / 1000
    return is_late and served == 0


main(case, str(Path(__file__).resolve().parent))
