"""Reloads the configuration of a running sidecar on SIGHUP."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from brambleusher.net.endpoint_watch import HttpWatch
from brambleusher.operator_settings.configuration import OperatorFile
from brambleusher.operator_settings.section import OperatorFileError
from brambleusher.sidecar.configuration import Config, ConfigError, fixed_keys_changed
from brambleusher.sidecar.state_exchange import address_text

if TYPE_CHECKING:
    from brambleusher.sidecar.app import Sidecar

log = logging.getLogger(__name__)

LISTS_PER_SECOND = 50.0  # lists per second that a new discovery can send to a fleet
# Fraction of the time limit for requesting a list in which a sidecar has to contact the new discovery.
CHANGE_OVER_FRACTION = 0.2
NS_PER_S = 1e9


class ConfigurationReloader:
    """Applies configuration changes that need no restart: the discovery address and the zone rules.

    `load_configuration` and `load_operator_file` reload the two files; None means that there is no such file.
    """

    def __init__(
        self,
        sidecar: Sidecar,
        load_configuration: Callable[[], Config] | None,
        load_operator_file: Callable[[], OperatorFile] | None,
    ) -> None:
        self._sidecar = sidecar
        self.load_configuration = load_configuration
        self.load_operator_file = load_operator_file

    def reload(self) -> None:
        """Reload both files; an invalid file does not change the running configuration."""
        is_shutting_down = self._sidecar.lifecycle.is_shutting_down
        if self.load_configuration is None or is_shutting_down:
            fields = {"is_shutting_down": is_shutting_down}
            log.info("configuration reload skipped", extra={"fields": fields})
            return
        self._reload_zone_rules()
        try:
            config = self.load_configuration()
        except ConfigError as error:
            # A partially written file must not stop a running sidecar.
            _reject("configuration", error)
            return
        self._apply(config)

    def _apply(self, loaded: Config) -> None:
        running = self._sidecar.config
        settings = replace(loaded.settings, zone_rules=running.settings.zone_rules)
        for key in fixed_keys_changed(running, replace(loaded, settings=settings)):
            _warn_restart_required(key)
        is_moved = loaded.discovery != running.discovery
        fields = {"discovery": address_text(loaded.discovery), "moved": is_moved}
        log.info("configuration reloaded", extra={"fields": fields})
        if is_moved:
            self._change_discovery(loaded.discovery)

    def _change_discovery(self, discovery: tuple[str, int]) -> None:
        sidecar = self._sidecar
        sidecar.config = replace(sidecar.config, discovery=discovery)
        settings = sidecar.config.settings
        poll_deadline_s = settings.endpoint_poll_deadline_ns / NS_PER_S
        within_s = min(settings.fleet_size / LISTS_PER_SECOND, poll_deadline_s * CHANGE_OVER_FRACTION)
        sidecar.endpoint_list.switch_discovery(HttpWatch(sidecar.scheduler, discovery), within_s)

    def _reload_zone_rules(self) -> None:
        """Apply the zone section of the operator file; any error in the file rejects the whole file."""
        if self.load_operator_file is None:
            return
        try:
            rules = self.load_operator_file().zones
        except OperatorFileError as error:
            _reject("operator file", error)
            return
        if self._sidecar.balancer_driver.change_zone_rules(rules):
            log.info("zone rules reloaded", extra={"fields": {"on": rules is not None}})
        else:
            _warn_restart_required("zones")


def _reject(what: str, error: ValueError) -> None:
    log.error("configuration reload rejected", extra={"fields": {"file": what, "reason": error}})


def _warn_restart_required(key: str) -> None:
    log.warning("configuration change requires restart", extra={"fields": {"key": key}})
