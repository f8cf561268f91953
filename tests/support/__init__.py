"""Helpers that several test packages share."""
