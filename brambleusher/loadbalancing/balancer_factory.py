"""Makes the balancer that settings ask for."""

from __future__ import annotations

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer


def balancer_for(settings: api.Settings, seed: int) -> Balancer:
    """Return the balancer that settings ask for: without rules on zones, the plain one.

    The modules of zones are imported here: a sidecar's start is charged, and few sidecars have rules.
    """
    if settings.zone_rules is None:
        return Balancer(settings, seed)
    from brambleusher.loadbalancing.zone_aware_balancer import ZoneAwareBalancer

    return ZoneAwareBalancer(settings, seed)
