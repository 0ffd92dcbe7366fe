"""Faults for the virtual and the real world: kinds, their effects on a fleet, and deliberate bugs."""
