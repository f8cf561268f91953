"""Frozen values that every other package exchanges."""
