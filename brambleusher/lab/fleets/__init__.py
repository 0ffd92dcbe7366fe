"""Fleet definitions, and the fleets built from them in the virtual or the real world."""
