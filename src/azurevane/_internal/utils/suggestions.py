"""Suggestions for misspelled names."""

from collections.abc import Iterable
import difflib


def suggest_name(value: str, allowed: Iterable[str]) -> str:
    """Return a hint with the closest allowed name, or with all of them."""
    names = sorted(allowed)
    close = difflib.get_close_matches(value, names, n=1)
    if close:
        return f"did you mean {close[0]!r}?"
    return f"allowed: {', '.join(names) or 'none'}"
