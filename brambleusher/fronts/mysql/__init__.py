"""The MySQL front end: protocol codec, session state, and connection pools to the database nodes."""
