"""Mutations after which a gateway does not serve any more."""

from __future__ import annotations

from http import HTTPStatus

from brambleusher.dataplane.client_connection import ClientConnection
from brambleusher.gateway.app import Gateway
from brambleusher.gateway.client_server import ClientServer
from brambleusher.lab.faults.breakages import Patches
from brambleusher.lab.soak.mutations.registry import mutation


@mutation("no-recovery", "gateway", "after a reload a gateway rejects every request", "recovery")
def _no_recovery(patches: Patches) -> None:
    def apply(self: Gateway, _settings: object) -> None:
        patches.set(ClientServer, "_respond", reject)

    def reject(self: ClientServer, client: ClientConnection, _request: object) -> None:
        client.send_error(HTTPStatus.SERVICE_UNAVAILABLE, "planted")

    patches.set(Gateway, "_apply_settings", apply)
