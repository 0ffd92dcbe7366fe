"""Settings that operators changed at any process of one sidecar: bans, and whether it is in service.

The processes share one file.  Changes are merged by their time, and the file is replaced atomically.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from brambleusher.handover.shared_folder import SHARED_SETTINGS_FILE, JsonObject, SharedFolder
from brambleusher.loadbalancing.host_bans import Ban, HostBans

log = logging.getLogger(__name__)

# Keys of the JSON object in the file of the shared settings.
_BANS, _SERVICE, _CHANGED, _IN_SERVICE = "bans", "service", "said", "wanted"


class SharedSettingsError(ValueError):
    """Invalid shared settings; the message names the key."""


@dataclass(frozen=True, slots=True)
class SharedSettings:
    """Settings changed by operators; `service_changed_ns` is when `is_in_service` changed, 0 if never."""

    bans: Mapping[str, Ban]
    is_in_service: bool = True
    service_changed_ns: int = 0

    def encode(self) -> JsonObject:
        """Return the settings in their file format."""
        return {
            _BANS: {host: [ban.since_ns, ban.ended_ns] for host, ban in self.bans.items()},
            _SERVICE: {_CHANGED: self.service_changed_ns, _IN_SERVICE: self.is_in_service},
        }

    @classmethod
    def decode(cls, raw: JsonObject) -> SharedSettings:
        """Parse the file format; missing keys have defaults.

        Raises:
            SharedSettingsError: A value has the wrong type or a required key is missing.
        """
        try:
            bans = HostBans.from_json(raw.get(_BANS, {}))
        except ValueError as error:
            raise SharedSettingsError(str(error)) from None
        service = raw.get(_SERVICE, {_CHANGED: 0, _IN_SERVICE: True})
        if not isinstance(service, dict):
            raise SharedSettingsError(f"{_SERVICE} is not an object")
        try:
            return cls(bans, bool(service[_IN_SERVICE]), int(service[_CHANGED]))
        except KeyError as error:
            raise SharedSettingsError(f"{_SERVICE}.{error.args[0]} is missing") from None
        except (ValueError, TypeError):
            raise SharedSettingsError(f"{_SERVICE}.{_CHANGED} is not a time") from None


class SharedSettingsStore:
    """Reads and updates the file of the shared settings."""

    def __init__(self, folder: SharedFolder) -> None:
        self._folder = folder

    def read(self) -> SharedSettings | None:
        """Return the shared settings; None if the file is missing, or if it is unusable, which is logged."""
        raw = self._folder.read(SHARED_SETTINGS_FILE)
        if raw is None:
            return None
        try:
            return SharedSettings.decode(raw)
        except SharedSettingsError as error:
            log.warning("shared settings rejected", extra={"fields": {"error": error}})
            return None

    def update(self, merge: Callable[[SharedSettings | None], SharedSettings]) -> None:
        """Replace the settings with the result of `merge`, under the folder's lock; log a failure."""
        try:
            with self._folder.exclusive_lock():
                self._folder.write(SHARED_SETTINGS_FILE, merge(self.read()).encode())
        except OSError as error:
            log.exception("shared settings not written", extra={"fields": {"error": error}})
