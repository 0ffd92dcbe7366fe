"""Invalid configurations are sent: each must be refused, and no process may end because of one."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from small_fleet import BROKEN, HELD, TROUBLE, CouldNotRunError, Fleet, call, configuration, route, run_case  # noqa: E402

REQUEST = {"Host": "app.example", "X-Deadline-Remaining": "4000"}


async def send_requests(fleet: Fleet, label: str, count: int) -> int:
    """Send requests to both gateways in turn; return how many got a 200."""
    served = 0
    for at in range(count):
        gateway = fleet.gateways[at % len(fleet.gateways)]
        answer = await call(gateway.address("front"), "POST", "/r/1", REQUEST | {"X-Attempt-Id": f"{label}{at}"}, b"x")
        fleet.record.note(f"client: {label}{at} to {gateway.name}: {answer.status if answer else 'no answer'}")
        served += answer is not None and answer.status == 200
    return served


async def rest(fleet: Fleet, seconds: float) -> None:
    """Open two connections a second to each gateway and let them rest, as clients do that keep connections."""
    until, kept = time.monotonic() + seconds, []
    while time.monotonic() < until:
        for gateway in fleet.gateways:
            host, _, port = gateway.address("front").rpartition(":")
            try:
                kept.append(await asyncio.open_connection(host, int(port)))
            except OSError as error:
                fleet.record.note(f"client: no connection to {gateway.name}: {error}")
        await asyncio.sleep(0.5)
    for _, writer in kept:
        writer.close()


def unknown_service(revision: int) -> dict[str, object]:
    """A route names a service that does not exist, in its `split`."""
    broken = route("r", "s", split=[{"service": "s", "gain": 90}, {"service": "gone", "gain": 10}])
    return configuration(revision, [broken if TROUBLE else route("r", "s")], ["s"])


def not_json(revision: int) -> dict[str, object]:
    """A limit is NaN, which is no JSON (RFC 8259): the body can't be read whole."""
    body = configuration(revision, [route("r", "s")], ["s"])
    body["limits"]["idle_ms"] = float("nan") if TROUBLE else 15000  # type: ignore[index]
    return body


async def case(fleet: Fleet) -> int:
    """Send two invalid configurations, each on top of the newest version."""
    await fleet.add_sidecar("i-1", "s")
    await fleet.start()
    if (
        await fleet.operate("PUT", "/api/config", json.dumps(configuration(5, [route("r", "s")], ["s"])).encode(), 0)
        != 200
    ):
        raise CouldNotRunError("the first configuration was not acknowledged")
    await fleet.until(fleet.all_ready, 20.0, "all gateways are ready")
    if await send_requests(fleet, "before-", 10) != 10:
        raise CouldNotRunError("not all requests were served before the disruption")
    newest, acknowledged = 5, []
    for make in (unknown_service, not_json):
        revision = newest + 2
        body = json.dumps(make(revision)).encode()
        if await fleet.operate("PUT", "/api/config", body, newest) == 200:
            newest = revision
            acknowledged.append(f"{make.__name__} as version {revision}")
    await rest(fleet, 8.0)
    served = await send_requests(fleet, "after-", 10)
    ended = [f"{each.name} with {each.process.poll()}" for each in fleet.gateways if each.process.poll() is not None]
    for gateway in fleet.gateways:
        for line in gateway.log().splitlines():
            if "process failed" in line:
                fleet.record.note(f"log of {gateway.name}: {line[:160]} ... {line[-120:]}")
    fleet.record.note(f"acknowledged: {acknowledged}; ended by themselves: {ended}; served after: {served} of 10")
    if not TROUBLE:
        return HELD if len(acknowledged) == 2 and not ended and served == 10 else BROKEN
    return BROKEN if acknowledged or ended else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
