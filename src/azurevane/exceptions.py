"""Exception hierarchy of azurevane."""

from azurevane._internal.models import verdict


class AzurevaneError(Exception):
    """Base class of all exceptions that azurevane raises deliberately.

    The message says what is wrong, where, and what to do about it.
    """


class SettingsError(AzurevaneError):
    """Raised when a settings file is unreadable or invalid."""


class ManifestError(AzurevaneError):
    """Raised when a manifest is invalid; lists every problem found.

    Attributes:
        problems: one text per problem, each with its position in the file.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class StoreUnavailable(AzurevaneError):
    """Raised when the table service returns no usable response in time.

    The operation may have taken effect; its token in the stored rows shows
    whether it has.
    """


class StoreNotCalled(StoreUnavailable):
    """Raised when a call to the table service isn't sent and has no effect.

    For example, the circuit breaker is open or the write budget is
    exhausted.
    """


class MessageError(AzurevaneError):
    """Raised when a message from a peer is malformed or too large."""


class NotFound(AzurevaneError):
    """Raised when an operator names an object that doesn't exist."""


class InvariantViolation(AzurevaneError):
    """Raised when a check at run time finds a violated invariant.

    The log event with the same message has the values that were checked.
    """


class CallFailed(AzurevaneError):
    """Raised when an HTTP call gets no usable response.

    Attributes:
        verdict: whether the request may have run.
        refused: whether the connection was refused.
        timed_out: whether no complete response arrived within the timeout.
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
    """Raised when the store has dropped the requested history of a table.

    The whole table must be read again before its changes are followed.
    """


class JobRejected(AzurevaneError):
    """Raised when a submitted job is malformed; the message says where."""
