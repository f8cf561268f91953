"""Exceptions of azurevane, in one hierarchy."""

from azurevane._internal.models import verdict


class AzurevaneError(Exception):
    """Base of every exception that azurevane raises on purpose.

    The text says what was wrong, where, and what to do next.
    """


class SettingsError(AzurevaneError):
    """Raised when a settings file has unknown keys or invalid values."""


class ManifestError(AzurevaneError):
    """Raised when a manifest is invalid; carries every problem found.

    Attributes:
        problems: one text per problem, each with its place in the file.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class StoreUnavailable(AzurevaneError):
    """Raised when the table service gave no usable answer in time.

    The operation may have taken effect; look for its token.
    """


class StoreNotCalled(StoreUnavailable):
    """Raised when a call to the platform wasn't sent: it had no effect.

    The circuit breaker is open, or the write budget is used up.
    """


class MessageError(AzurevaneError):
    """Raised when a peer's message is malformed or too large."""


class NotFound(AzurevaneError):
    """Raised when a name that an operator gave doesn't exist."""


class InvariantViolation(AzurevaneError):
    """Raised when a check inside the program finds a broken invariant.

    The state that led to it is in the log event of the same text.
    """


class CallFailed(AzurevaneError):
    """Raised when a call over HTTP got no whole answer.

    Attributes:
        verdict: whether the call may have run.
        refused: whether nothing listened at the address.
        timed_out: whether the peer was silent for as long as it had.
    """

    def __init__(
        self,
        text: str,
        outcome: verdict.Verdict,
        *,
        refused: bool = False,
        timed_out: bool = False,
    ) -> None:
        super().__init__(text)
        self.verdict = outcome
        self.refused = refused
        self.timed_out = timed_out


class StoreHistoryLost(AzurevaneError):
    """Raised when the store no longer has the changes that were asked for.

    Read the table anew and follow it from there.
    """


class JobRejected(AzurevaneError):
    """Raised when a submitted job is malformed; the text says where."""
