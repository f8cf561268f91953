"""Operators' command line, one module per command."""
