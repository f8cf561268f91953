"""How long an answer usually takes, and how long to wait for one."""

# Weight of the newest answer.
WEIGHT = 0.2
# An answer is given up after this many times its usual time and a margin.
FACTOR = 6.0
MARGIN_S = 0.15


class LatencyEstimate:
    """Usual time of a peer's answers, in seconds."""

    def __init__(self, usual_s: float) -> None:
        self._usual_s = usual_s

    def record_response(self, took_s: float) -> None:
        """Take in the time of an answer."""
        self._usual_s += WEIGHT * (took_s - self._usual_s)

    def record_timeout(self, waited_s: float) -> None:
        """Take in that no answer came in time.

        The peer may be slow, so the next wait is longer; lost answers of a
        quick peer are outweighed by its others.
        """
        self._usual_s = max(self._usual_s, 2 * waited_s / FACTOR)

    def timeout_s(self, most_s: float) -> float:
        """Return how long to wait for the next answer."""
        return min(FACTOR * self._usual_s + MARGIN_S, most_s)
