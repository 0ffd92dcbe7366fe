"""Which requests are beyond their tenant's quota: token buckets at this proxy's share of the rates."""

from __future__ import annotations

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.windows import NS_PER_S

BURST = 2.0  # requests of a tenant that may come at once: a burst of one flags half of what is in its quota


class TenantQuotas:
    """The buckets of all tenants."""

    def __init__(self, settings: api.Settings) -> None:
        self._tenants = {tenant.name: tenant for tenant in settings.tenants}
        self.levels = {
            tenant.name: tenant.quota_per_s / settings.fleet_size for tenant in settings.tenants
        }  # requests
        self.last_seen_ns: dict[str, int] = {}

    def is_over_quota(self, tenant_name: str | None, fleet_fraction: float, now: int) -> bool:
        """Take a request from its tenant's bucket; return whether there was none left."""
        tenant = self._tenants.get(tenant_name or "")
        if tenant is None or tenant.quota_per_s <= 0:
            return False
        rate = tenant.quota_per_s * fleet_fraction
        level = self.levels[tenant.name]
        level += rate * (now - self.last_seen_ns.get(tenant.name, now)) / NS_PER_S
        level = min(level, max(rate, BURST))
        self.last_seen_ns[tenant.name] = now
        is_over = level < 1
        self.levels[tenant.name] = level if is_over else level - 1
        return is_over
