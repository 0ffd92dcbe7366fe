"""Assembles the MySQL front end and its node pools for the sidecar."""

from __future__ import annotations

import importlib.util
import logging
import os
import random
from collections.abc import Callable

from brambleusher.decisions.balancer_driver import BalancerDriver
from brambleusher.decisions.clock import Clock
from brambleusher.fronts.mysql.front import MysqlFrontEnd
from brambleusher.fronts.mysql.nodes import MysqlNodes
from brambleusher.fronts.mysql.settings import MysqlSettings, check_against, load_secrets
from brambleusher.loadbalancing.api import Settings
from brambleusher.net.endpoint_list import EndpointListUpdate
from brambleusher.observability.counters import Counters
from brambleusher.operator_settings.section import OperatorFileError
from brambleusher.runtime.scheduler import Scheduler

log = logging.getLogger(__name__)


class MysqlService:
    """The MySQL front end of a sidecar.

    Raises:
        OperatorFileError: The `mysql:` section or a file that it names is invalid, or a package is missing.
    """

    def __init__(
        self,
        settings: MysqlSettings,
        platform: Settings,
        seed: int,
        scheduler: Scheduler,
        decisions: BalancerDriver,
        clock: Clock,
        counters: Counters,
        entropy: Callable[[int], bytes] = os.urandom,
    ) -> None:
        for name in ("sqlglot", "cryptography"):
            if importlib.util.find_spec(name) is None:
                raise OperatorFileError(f"mysql: {name} is missing: install brambleusher[mysql]")
        check_against(settings, platform)
        users, passwords, rsa, node_key = load_secrets(settings)
        self._settings, self._scheduler = settings, scheduler
        self.address: tuple[str, int] | None = None  # listening address, set by `start`
        try:
            self.nodes = MysqlNodes(scheduler, platform, settings, passwords, counters, node_key)
            self.front = MysqlFrontEnd(
                scheduler, decisions, self.nodes, clock, counters, settings, users, rsa,
                random.Random(seed ^ 0x6D7973716C), entropy,
            )  # fmt: skip
        except OSError as error:  # a certificate or key file can't be loaded
            raise OperatorFileError(f"mysql: TLS files can't be used: {error}") from None

    def start(self, endpoints: EndpointListUpdate) -> tuple[str, int]:
        """Start to listen and return the address."""
        self.nodes.update(endpoints)
        self._scheduler.spawn(self.nodes.reap, name="mysql reap")
        self.address = address = self.front.listen(self._settings.listen)
        log.info("listening for MySQL", extra={"fields": {"address": f"{address[0]}:{address[1]}"}})
        return address

    def wind_down(self) -> None:
        """Accept no new sessions; pinned sessions may continue for the grace period of their class."""
        self.front.wind_down()
        self.nodes.close()
