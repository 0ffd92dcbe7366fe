"""quillpass: the decisions of a client-side load balancer, as a pure library."""

from quillpass import api
from quillpass.balance import Balancer

__all__ = ["Balancer", "api"]
__version__ = "0.2.0"
