"""Settings files name other seeds, then all processes are killed: the system must serve again when they are back."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from small_fleet import BROKEN, HELD, TROUBLE, CouldNotRunError, Fleet, call, configuration, route, run_case  # noqa: E402

DOWN_S = 0.8
RECOVERY_S = 12.0  # `recovery_s` of the settings
JUDGED_S = 30.0
QUARTER = 0.25


async def ask(fleet: Fleet, label: str, seconds: float) -> Counter[str]:
    """Send ten requests a second to all gateways in turn; return how many got which status."""
    statuses: Counter[str] = Counter()
    until, at = time.monotonic() + seconds, 0
    while time.monotonic() < until:
        gateway = fleet.gateways[at % len(fleet.gateways)]
        headers = {"Host": "app.example", "X-Deadline-Remaining": "4000", "X-Attempt-Id": f"{label}{at}"}
        answer = await call(gateway.address("front"), "POST", "/r/1", headers, b"x", timeout_s=4.0)
        statuses[str(answer.status if answer else "none")] += 1
        fleet.record.note(f"client: {label}{at} to {gateway.name}: {answer.status if answer else 'no answer'}")
        at += 1
        await asyncio.sleep(0.1)
    return statuses


async def change_seeds(fleet: Fleet) -> None:
    """The files of the edge machines name three edge machines that serve control; SIGHUP tells their processes."""
    for machine in (*fleet.members, *fleet.gateways):
        machine.seeds = [each.address("control") for each in fleet.members]
        machine.write_settings()
        machine.signal(signal.SIGHUP)
    await asyncio.sleep(4.0)


async def kill_all(fleet: Fleet) -> None:
    """All processes are killed at the same moment and are back within a second."""
    for machine in fleet.machines:
        machine.process.send_signal(signal.SIGKILL)  # type: ignore[union-attr]
    for machine in fleet.machines:
        machine.kill()
    fleet.record.note("SIGKILL to all processes")
    await asyncio.sleep(DOWN_S)
    for machine in fleet.machines:
        machine.bootstrap = False
        machine.start()


async def case(fleet: Fleet) -> int:
    """The final fault kills everything; without the disruption the seeds stay what they were."""
    await fleet.add_sidecar("i-1", "s")
    await fleet.start()
    body = json.dumps(configuration(5, [route("r", "s")], ["s"])).encode()
    if await fleet.operate("PUT", "/api/config", body, 0) != 200:
        raise CouldNotRunError("the first configuration was not acknowledged")
    await fleet.until(fleet.all_ready, 20.0, "all gateways are ready")
    if TROUBLE:
        await change_seeds(fleet)
    before = await ask(fleet, "before-", 3.0)
    if before["200"] < sum(before.values()) * QUARTER:
        raise CouldNotRunError(f"too few were served before the fault: {dict(before)}")
    await kill_all(fleet)
    await asyncio.sleep(RECOVERY_S)
    after = await ask(fleet, "after-", JUDGED_S)
    for machine in fleet.machines:
        if machine.process is None or machine.process.poll() is not None:
            raise CouldNotRunError(f"the {machine.role} of {machine.name} does not run")
    fleet.record.note(
        f"answers before the fault: {dict(before)}; from {RECOVERY_S} s after the return on: {dict(after)}"
    )
    return HELD if after["200"] >= sum(after.values()) * QUARTER else BROKEN


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case, controllers=3, gateways=7, members=3))
