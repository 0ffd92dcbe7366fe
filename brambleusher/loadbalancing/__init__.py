"""Client-side load balancer without a clock or I/O: the caller passes in events and the time."""

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer

__all__ = ["Balancer", "api"]
