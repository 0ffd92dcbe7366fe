"""Real processes of the program with faults between them: relays on every link, signals, limits, clocks."""
