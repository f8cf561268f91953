"""The soak runs as a separate process, so nothing is set up here."""
