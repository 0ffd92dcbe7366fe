"""Make one call after another through gRPC's own xDS client, until killed or for at most two minutes.

GRPC_XDS_BOOTSTRAP=FILE python -m brambleusher.lab.control.xds_caller xds:///NAME CALLER
"""

from __future__ import annotations

import sys
import time

import grpc

INTERVAL_S, MAX_DURATION_S = 0.002, 120.0


def main(target: str, name: str) -> None:
    """Call `/look/Get` with the caller's name as the body; failures are printed to standard error."""
    with grpc.insecure_channel(target) as channel:
        request = channel.unary_unary("/look/Get")
        until = time.monotonic() + MAX_DURATION_S
        while time.monotonic() < until:
            try:
                request(name.encode(), timeout=5)
            except grpc.RpcError as error:
                print(f"{name}: {error}", file=sys.stderr)
                time.sleep(0.1)
            time.sleep(INTERVAL_S)


if __name__ == "__main__":
    main(*sys.argv[1:])
