"""Versioned rows with atomic transactions, in memory."""

from typing import Any


class MemoryTable:
    """In-memory table of the platform stand-in."""

    def __init__(self) -> None:
        self.row_by_name: dict[str, tuple[int, Any]] = {}
        self.writes = 0
        self.reads = 0
        self._last_version = 0

    def read(self, name: str) -> tuple[int, Any]:
        """Return version and value; version 0 if the row doesn't exist."""
        self.reads += 1
        return self.row_by_name.get(name, (0, None))

    def read_prefix(self, prefix: str) -> list[tuple[str, int, Any]]:
        """Return the rows whose names start with a prefix, by name."""
        self.reads += 1
        return [
            (name, version, value)
            for name, (version, value) in sorted(self.row_by_name.items())
            if name.startswith(prefix)
        ]

    def transact(
        self, checks: dict[str, int], puts: dict[str, Any]
    ) -> tuple[bool, dict[str, int]]:
        """Apply all writes if every checked version matches."""
        self.writes += 1
        applied = all(
            self.row_by_name.get(name, (0, None))[0] == version
            for name, version in checks.items()
        )
        if applied:
            # Versions are never reused, even after a row is deleted and
            # written again, so that a stale check can't match by chance.
            self._last_version += 1
            for name, value in puts.items():
                if value is None:
                    self.row_by_name.pop(name, None)
                else:
                    self.row_by_name[name] = (self._last_version, value)
        versions = {
            name: self.row_by_name.get(name, (0, None))[0]
            for name in [*checks, *puts]
        }
        return applied, versions
