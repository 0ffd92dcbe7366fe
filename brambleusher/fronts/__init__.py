"""Further protocols on the same core, a package each."""
