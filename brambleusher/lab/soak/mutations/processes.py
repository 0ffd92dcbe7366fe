"""Mutations of shutdown and reload."""

from __future__ import annotations

from brambleusher.gateway.app import Gateway
from brambleusher.gateway.graceful_shutdown import GracefulShutdown
from brambleusher.lab.faults.breakages import Patches
from brambleusher.lab.soak.mutations.registry import mutation
from brambleusher.sidecar.lifecycle import Lifecycle


@mutation("sigterm-at-once", "gateway", "SIGTERM ends requests under way", "lost")
def _sigterm_at_once(patches: Patches) -> None:
    patches.set(GracefulShutdown, "_finish", lambda self, clients, started_at_s: self._scheduler.stop())


@mutation("sigterm-ignored", "gateway", "a shutdown does not end", "exit")
def _sigterm_ignored(patches: Patches) -> None:
    patches.set(GracefulShutdown, "_finish", lambda self, clients, started_at_s: self._scheduler.sleep(60.0))


@mutation("sidecar-sigterm-ignored", "sidecar", "a shutdown does not end", "exit")
def _sidecar_sigterm_ignored(patches: Patches) -> None:
    patches.set(Lifecycle, "begin_graceful_shutdown", lambda self: None)


@mutation("reload-ends", "gateway", "a reload ends the process", "exit")
def _reload_ends(patches: Patches) -> None:
    patches.set(Gateway, "_apply_settings", lambda self, settings: self.scheduler.stop())


@mutation("error-logged", "gateway", "a reload fails with an error", "log")
def _error_logged(patches: Patches) -> None:
    def apply(self: Gateway, settings: object) -> None:
        raise KeyError(str(type(settings)))

    patches.set(Gateway, "_apply_settings", apply)
