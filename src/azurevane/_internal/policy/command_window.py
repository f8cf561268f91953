"""Limits the commands in progress at a peer that has turned slow.

Designed for a peer that carries out one call at a time. A command that is
given up still takes its turn there, so further ones would only make each
other late, and later the calls on which leases depend. A response that is
late or missing while later calls are answered promptly says nothing of the
peer.
"""

# The limit is lifted above this many commands.
MAX_LIMIT = 8
# No command begins for this long after a rejected one; it doubles up to the
# maximum.
INITIAL_PAUSE_S = 0.25
MAX_PAUSE_S = 2.0


class CommandWindow:
    """Commands in progress at one peer; times are monotonic seconds.

    Attributes:
        prompt_s: response time up to which the peer isn't slow.
        in_progress: number of commands without an outcome.
    """

    def __init__(self, prompt_s: float) -> None:
        self.prompt_s = prompt_s
        self._limit: int | None = None
        self.in_progress = 0
        self._newest_prompt_at = float("-inf")
        self._shrunk_at = float("-inf")
        self._pause_s = INITIAL_PAUSE_S
        self._not_before = float("-inf")

    def available(self, most: int, now: float) -> int:
        """Return how many commands may begin now.

        Args:
            most: number without a limit.
        """
        if now < self._not_before:
            return 0
        if self._limit is None:
            return most
        return min(max(self._limit - self.in_progress, 0), most)

    def begin(self) -> None:
        """Count a command that is about to be sent."""
        self.in_progress += 1

    def cancel(self) -> None:
        """Take back a command that wasn't sent."""
        self.in_progress -= 1

    def record_prompt_response(self, sent_at: float) -> None:
        """Record that the peer answered a call of a time promptly."""
        self._newest_prompt_at = max(self._newest_prompt_at, sent_at)

    def lift(self, sent_at: float) -> None:
        """Lift the limit after a call that was answered at once."""
        self.record_prompt_response(sent_at)
        if sent_at >= self._shrunk_at:
            self._limit = None

    def end(self, sent_at: float, now: float, *, answered: bool) -> None:
        """Count a command's outcome and adapt the limit."""
        if answered and now - sent_at <= self.prompt_s:
            self.in_progress -= 1
            self.record_prompt_response(sent_at)
            self._pause_s = INITIAL_PAUSE_S
            if self._limit is not None:
                grown = self._limit + 1
                self._limit = grown if grown <= MAX_LIMIT else None
            return
        if self._newest_prompt_at <= sent_at:
            self._shrink(sent_at, now)
        self.in_progress -= 1

    def reject(self, sent_at: float, now: float) -> None:
        """Count a command that the peer rejected for its load."""
        if sent_at >= self._shrunk_at:
            self._not_before = now + self._pause_s
            self._pause_s = min(2 * self._pause_s, MAX_PAUSE_S)
        self._shrink(sent_at, now)
        self.in_progress -= 1

    def _shrink(self, sent_at: float, now: float) -> None:
        """Halve the limit, once for all commands that were in progress."""
        if sent_at < self._shrunk_at:
            return
        limit = min(self._limit or self.in_progress, MAX_LIMIT)
        self._limit = max(limit // 2, 1)
        self._shrunk_at = now
