"""The main program: configuration, logging, start."""

from __future__ import annotations

import os
import sys

from brambleusher.config import ConfigError, load_config
from brambleusher.logs import configure
from brambleusher.sidecar import serve


def main() -> int:
    """Serve until told to end; 2 if the configuration can't be used."""
    configure()
    try:
        serve(lambda: load_config(os.environ))
    except ConfigError as error:
        print(f"brambleusher: bad configuration: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
