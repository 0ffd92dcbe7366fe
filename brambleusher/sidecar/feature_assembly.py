"""Builds the features that an operator file enables from the sections of the file."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from brambleusher.decisions.balancer_driver import BalancerDriver
from brambleusher.decisions.clock import Clock
from brambleusher.features.capture import Capture, CaptureDirectorySink
from brambleusher.features.metrics_reporter import DROPPED_LINES, MetricsReporter
from brambleusher.loadbalancing.api import Settings
from brambleusher.observability.counters import Counters
from brambleusher.operator_settings.configuration import CaptureSettings, MetricsSettings, StatusSettings
from brambleusher.operator_settings.rewrite_rules import RewriteRule
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.system import System
from brambleusher.sidecar.configuration import Config
from brambleusher.sidecar.outputs import Outputs

if TYPE_CHECKING:
    from brambleusher.features.rewrites import RuleRewriter
    from brambleusher.features.status import StatusPage
    from brambleusher.fronts.mysql.service import MysqlService
    from brambleusher.fronts.mysql.settings import MysqlSettings

log = logging.getLogger(__name__)

KIB = 1024


def build_metrics_reporter(
    settings: MetricsSettings,
    served: Settings,
    clock: Clock,
    counters: Counters,
    outputs: Outputs,
    system: System,
) -> MetricsReporter:
    """Return the metrics reporter, with an output queue to its target."""
    counters.register(DROPPED_LINES)
    target = settings.target
    if target.kind == "stderr":
        output = outputs.stderr()
    elif target.kind == "file":
        output = outputs.writer("figures", lambda: system.file_sink(target.path))
    else:
        output = outputs.writer("figures", lambda: system.datagram_sink(target.address))
    return MetricsReporter(settings, served, clock, counters, output.add_queue(settings.buffer_kb * KIB))


def build_capture(settings: CaptureSettings, config: Config, outputs: Outputs) -> Capture:
    """Return the capture, with output queues for dumps to standard error and for its files."""
    ring_bytes = settings.ring_kb * KIB
    dumps, files = outputs.stderr().add_queue(2 * ring_bytes), None
    if settings.dir is not None:
        sink = CaptureDirectorySink(settings.dir, config.name, settings.files, ring_bytes)
        files = outputs.writer("capture", lambda: sink).add_queue(ring_bytes)
    return Capture(settings, config.settings, config.seed, config.known, dumps, files)


def build_rewrites(rules: tuple[RewriteRule, ...], served: Settings) -> RuleRewriter:
    """Return the header rewriter, and log rules for request classes that are not served."""
    from brambleusher.features.rewrites import (
        RuleRewriter,
    )  # imported only when needed, to make starts cheaper

    rewrites = RuleRewriter(rules)
    for name in sorted(rewrites.classes - {cls.name for cls in served.classes}):
        log.warning("rewrite rule names unknown class", extra={"fields": {"class": name}})
    return rewrites


def build_status(
    settings: StatusSettings,
    served: Settings,
    scheduler: Scheduler,
    zone_status: Callable[[], dict[str, object] | None],
) -> StatusPage:
    """Return the status page feature."""
    from brambleusher.features.status import StatusPage  # imported only when needed, to make starts cheaper

    return StatusPage(settings, served, scheduler, zone_status)


def build_mysql(
    settings: MysqlSettings,
    config: Config,
    scheduler: Scheduler,
    driver: BalancerDriver,
    clock: Clock,
    counters: Counters,
) -> MysqlService:
    """Return the MySQL front end.

    Raises:
        OperatorFileError: The MySQL section, a file or a library is invalid or missing.
    """
    from brambleusher.fronts.mysql.service import MysqlService  # needs packages of an optional extra

    return MysqlService(settings, config.settings, config.seed, scheduler, driver, clock, counters)
