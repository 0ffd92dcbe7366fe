"""brambleusher: a sidecar load balancer on real sockets, round the decisions of `quillpass`.

Importing it does no work.  To embed one: `Sidecar(parse_config(text, env))`, `start()`, `run()`.
"""

__version__ = "0.1.0"
