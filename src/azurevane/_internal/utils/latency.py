"""Estimate of response times, from which timeouts are derived."""

# Weight of the latest response time in the moving average.
_LATEST_WEIGHT = 0.2
# The timeout is the estimated response time times this factor, plus the
# margin.
_TIMEOUT_FACTOR = 6.0
_TIMEOUT_MARGIN_S = 0.15


class LatencyEstimate:
    """Moving average of the response times of a peer, in seconds."""

    def __init__(self, initial_s: float) -> None:
        self._estimate_s = initial_s

    def record_response(self, took_s: float) -> None:
        """Update the estimate with the time of a response."""
        self._estimate_s += _LATEST_WEIGHT * (took_s - self._estimate_s)

    def record_timeout(self, waited_s: float) -> None:
        """Raise the estimate after a timeout.

        The peer may be slow, so the next timeout is longer. If a fast peer
        loses a response, its further responses lower the estimate again.
        """
        self._estimate_s = max(
            self._estimate_s, 2 * waited_s / _TIMEOUT_FACTOR
        )

    def timeout_s(self, max_s: float) -> float:
        """Return the timeout of the next call, at most ``max_s``."""
        return min(
            _TIMEOUT_FACTOR * self._estimate_s + _TIMEOUT_MARGIN_S, max_s
        )
