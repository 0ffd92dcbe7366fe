"""Sidecars answer some long requests before the body is in: a request that may run once must not be sent again."""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from small_fleet import (  # noqa: E402
    BROKEN,
    GROWN_SITES,
    HELD,
    TROUBLE,
    CouldNotRunError,
    Fleet,
    HttpMessage,
    Sidecar,
    call,
    configuration,
    route,
    run_case,
)

BODY = b"filing " * 8000  # 56 kB, a long request: the listing reviews of the site have 34 kB on average, 200 kB at most
REQUESTS = 300
EARLY_OF = 50  # one request in fifty, x = .02 of `garble`
PAUSE_S = 0.07  # between two requests: the gateway's connections to sidecars rest for longer than 0.05 s


class EarlySidecar(Sidecar):
    """Fails some requests with a 500 of its own before their body is in, keeps the connection and reads on."""

    seen = early = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                pairs = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if ":" in line]
                request = HttpMessage(lines[0], [(name.lower(), value) for name, value in pairs], b"", True)
                length = int(request.header("content-length") or 0)
                target = request.header("x-target-instance")
                self.seen += length > 0
                if TROUBLE and length > 16384 and target == self.id and self.seen % EARLY_OF == 0:
                    await self._fail_early(request, writer)
                    await reader.readexactly(length)
                else:
                    request.body = await reader.readexactly(length)
                    await self.answer(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _fail_early(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        attempt = request.header("x-attempt-id")
        self.ran.append(attempt)
        type(self).early += 1
        self.fleet.record.note(f"sidecar {self.id} runs {attempt}, and fails it with 500 before its body is in")
        headers = [("X-Attempt-Id", attempt), ("X-Server-Seal", f"seal.{attempt}")]
        await self.send(writer, 500, headers, b"it can't be done")


async def case(fleet: Fleet) -> int:
    """Send requests of a mutating route one after the other, and count how often each has run."""
    await fleet.add_sidecar("i-1", "s", kind=EarlySidecar, work_s=0.005)
    await fleet.add_sidecar("i-2", "s", work_s=0.005)
    await fleet.start()
    body = json.dumps(configuration(5, [route("r", "s")], ["s"])).encode()
    if await fleet.operate("PUT", "/api/config", body, 0) != 200:
        raise CouldNotRunError("the first configuration was not acknowledged")
    await fleet.until(fleet.all_ready, 20.0, "all gateways are ready")
    statuses: Counter[str] = Counter()
    for at in range(REQUESTS):
        headers = {"Host": "app.example", "X-Deadline-Remaining": "4000", "X-Attempt-Id": f"a{at}"}
        gateway = fleet.gateways[0]
        answer = await call(gateway.address("front"), "POST", "/r/1", headers, BODY, timeout_s=4.0)
        fleet.record.note(f"client: a{at} to {gateway.name}: {answer.status if answer else 'no answer'}")
        statuses[str(answer.status if answer else "none")] += 1
        await asyncio.sleep(PAUSE_S)
    runs = Counter(attempt for sidecar in fleet.sidecars for attempt in sidecar.ran)
    twice = sorted(attempt for attempt, count in runs.items() if count > 1)
    early = EarlySidecar.early
    fleet.record.note(f"answers: {dict(statuses)}; failed early: {early}; requests that ran more than once: {twice}")
    if TROUBLE and not early:
        raise CouldNotRunError("no request was answered before its body was in")
    if not TROUBLE and statuses["200"] != REQUESTS:
        return BROKEN
    return BROKEN if twice else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case, gateways=1, in_force=GROWN_SITES))
