"""Creates the balancer that the settings require."""

from __future__ import annotations

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer


def balancer_for(settings: api.Settings, seed: int) -> Balancer:
    """Return a plain balancer, or a zone-aware one if the settings have zone rules.

    The zone modules are imported only when needed, because they lengthen the start of a sidecar and few
    sidecars have zone rules.
    """
    if settings.zone_rules is None:
        return Balancer(settings, seed)
    from brambleusher.loadbalancing.zone_aware_balancer import ZoneAwareBalancer

    return ZoneAwareBalancer(settings, seed)
