"""What the control service is tried with: clients, histories and rules."""
