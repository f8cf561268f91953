"""Test helpers that several test folders share."""
