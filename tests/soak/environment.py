"""The soak runs as a process of its own; nothing to set up."""
