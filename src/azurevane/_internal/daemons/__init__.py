"""Wiring of the long-running programs."""
