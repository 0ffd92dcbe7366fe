"""brambleusher: a sidecar load balancer on real sockets, around the decisions of `loadbalancing`.

Importing it does no work.  To embed one: `Sidecar(parse_config(text, env))`, `start()`, `run()`.
"""

__version__ = "0.1.0"
