"""Fleets as figures and as what is put together of them, on whichever stage."""
