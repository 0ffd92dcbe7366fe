"""Count the function calls of a gateway per request, a figure that hardly depends on the load of the machine.

Runs a gateway under the profiler with three controllers, like `benchmarks.system_cost`, with two numbers of
requests.  The result is the difference in calls divided by the difference in requests.

    python -m benchmarks.gateway_calls [--against DIR] [--requests 1500]
"""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

from benchmarks.request_calls import print_comparison, read_call_counts, write_runner
from benchmarks.system_cost import ROOT, Deployment, StandIns, requests

FEW = 100  # requests of the smaller run
EVENTS = 1  # events per response
END_S = 10.0


class ProfiledDeployment(Deployment):
    """A deployment whose gateway runs under the profiler."""

    def __init__(self, folder: Path, root: Path) -> None:
        super().__init__(folder, root)
        self.output = folder / "profile"
        self._runner = folder / "runner.py"
        write_runner(self._runner, root, self.output, "brambleusher.system_main", ["brambleusher", "gateway"])

    def command(self, name: str, role: str) -> list[str]:
        """Return the command that starts a process."""
        return [sys.executable, str(self._runner)] if role == "gateway" else super().command(name, role)

    def end_gateway(self) -> Counter[str]:
        """End the gateway and return its calls by function."""
        gateway = self.processes["gateway-0"]
        gateway.send_signal(signal.SIGTERM)
        gateway.wait(END_S)
        return read_call_counts(self.output)


def profiled(root: Path, count: int) -> Counter[str]:
    """Return the number of calls by function name for `count` requests."""
    few, many = (_calls_of(root, each) for each in (FEW, FEW + count))
    return Counter({name: many[name] - few[name] for name in many if many[name] > few[name]})


def _calls_of(root: Path, count: int) -> Counter[str]:
    with tempfile.TemporaryDirectory() as folder:
        deployment = ProfiledDeployment(Path(folder), root)
        try:
            deployment.start_serving()
            requests(count, EVENTS)
            return deployment.end_gateway()
        finally:
            deployment.close()


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description="Function calls a request at a gateway.")
    parser.add_argument("--against", type=Path, help="another checkout, with the same interpreter")
    parser.add_argument("--requests", type=int, default=1500)
    given = parser.parse_args()
    StandIns()
    here = profiled(ROOT, given.requests)
    other = None if given.against is None else profiled(given.against.resolve(), given.requests)
    print_comparison(here, other, given.requests)


if __name__ == "__main__":
    main()
