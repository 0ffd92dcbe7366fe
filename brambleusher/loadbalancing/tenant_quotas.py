"""Tenant quotas: token buckets with this proxy's share of each tenant's rate."""

from __future__ import annotations

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.windows import NS_PER_S

# Minimum bucket size in requests; with a burst of one, half of the requests within the quota are flagged.
BURST = 2.0


class TenantQuotas:
    """Keeps the token buckets of all tenants."""

    def __init__(self, settings: api.Settings) -> None:
        self._tenants = {tenant.name: tenant for tenant in settings.tenants}
        # Level of each bucket in requests.
        self.levels = {tenant.name: tenant.quota_per_s / settings.fleet_size for tenant in settings.tenants}
        self.last_seen_ns: dict[str, int] = {}

    def is_over_quota(self, tenant_name: str | None, fleet_fraction: float, now: int) -> bool:
        """Withdraw a request from its tenant's bucket; return whether the bucket was empty."""
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
