"""What tasks run on: scheduler, streams and, below them, the seam to the machine, real or virtual."""
