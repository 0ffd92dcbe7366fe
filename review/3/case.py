"""An order that a cut link holds up acts after later orders were acknowledged."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from fleet import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    Closed,
    Deployment,
    Link,
    Record,
    Sidecar,
    call,
    configuration,
    main,
    route,
)

CORES, EDGES = [1, 2, 3], [11, 12]
HOST, ZONE = "ficu95.example", "aug-river"
CUT_S = 3.0  # the site's list of troubles cuts for 5.5 s at the most
ROUND_TRIP_S = 0.042  # sheet of the site: 1 ms to clients and 20 ms between regions, one way
MARGIN_S = 2.0


def send(record: Record, address: str, method: str) -> int:
    """Send an order for the zone to one machine; return its status, 0 without an answer in a second."""
    try:
        status, _, body = call(address, method, f"/api/evacuations/{ZONE}")
    except (OSError, Closed) as error:
        record(f"operator: {method} {ZONE} at {address}: no answer in a second ({error!r}); the connection is closed")
        return 0
    record(f"operator: {method} {ZONE} at {address}: {status} {body!r}")
    return status


def case(deployment: Deployment, record: Record) -> bool | None:
    d = deployment
    near = Sidecar(f"{d.ip(101)}:{d.sidecar_port}", "i-near", "desk", "atl-capitol", record)
    far = Sidecar(f"{d.ip(102)}:{d.sidecar_port}", "i-far", "desk", ZONE, record)
    d.platform.entries = [near.entry(), far.entry()]
    d.seeds = [f"{d.ip(host)}:{d.control}" for host in CORES]
    for host, zone in zip(CORES, d.ZONES, strict=True):
        d.start(f"core-{host}", "controller", host, zone)
    for host in EDGES:
        d.start(f"edge-{host}", "gateway", host, "atl-capitol")
    body = json.dumps(configuration(1, [route("r-first", "/first/", "desk")], ["desk"])).encode()
    if d.order(CORES, "PUT", "/api/config", body, 0, 20) != 200 or not d.wait_ready(EDGES, 20):
        return None
    # The operator reaches core-1 by a link of its own, and the others directly.
    link = Link(f"{d.ip(201)}:{d.control}", f"{d.ip(1)}:{d.control}", ROUND_TRIP_S)
    by_link, second, third = link.address, f"{d.ip(2)}:{d.control}", f"{d.ip(3)}:{d.control}"
    time.sleep(BOUNDS["contact_ms"] / 1000)

    if send(record, by_link, "POST") != 200:
        return None
    time.sleep(2.0)
    if TROUBLE:
        record(f"--- the operator's link to core-1 stands still for {CUT_S} s")
        link.cut(CUT_S)
    # The zone is taken back: the same order is sent to the next machine after a second of silence.
    if send(record, by_link, "DELETE") != 200 and send(record, second, "DELETE") != 200:
        return None
    time.sleep(0.5)
    # Its sidecars aren't well yet: the zone is evacuated again.
    if send(record, third, "POST") != 200:
        return None
    acknowledged = record.now()
    record(f"--- the evacuation is acknowledged; nothing may reach the zone from {acknowledged + 5:.3f} on")
    time.sleep(BOUNDS["evacuate_ms"] / 1000 + MARGIN_S)
    before = len(far.runs)
    for _ in range(20):
        for host in EDGES:
            d.request(host, HOST, "/first/1")
    reached = len(far.runs) - before
    status = json.loads(call(second, "GET", "/api/status")[2])
    record(f"core-2 says that these zones are evacuated: {status['evacuated']}")
    record(f"EVAC: {reached} of 40 requests ran in the evacuated zone, {MARGIN_S} s past evacuate_ms")
    return reached > 0


main(case, str(Path(__file__).resolve().parent))
