"""Data written by the code of commit 49e18d4, which later versions read and write alike: see README.md."""
