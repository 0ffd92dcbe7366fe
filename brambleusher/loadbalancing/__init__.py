"""The decisions of a client-side load balancer: pure, without a clock or I/O."""

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer

__all__ = ["Balancer", "api"]
