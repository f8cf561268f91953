"""Numbered log events and their catalogue."""
