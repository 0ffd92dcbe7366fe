"""One vocabulary of faults for both worlds: kinds, what each does to a fleet, deliberate breakages."""
