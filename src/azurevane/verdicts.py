"""Verdicts: whether a request may have run.

Public API: names in this module change only with a major version.
"""

from azurevane._internal.models.verdict import Failure
from azurevane._internal.models.verdict import Verdict

__all__ = ["Failure", "Verdict"]
