"""At which speed tasks that fill a runner may work.

Answers tasks that disturb the serving tasks beside them by amounts that
nobody declares and that change within seconds. The speed is halved while
the worst tail latency is near its target and raised step by step while
there is room, so it needs no constants for an image.
"""

# Shares of a latency target: from the first on fillers are slowed, below
# the second they may go faster.
SLOW_FROM = 0.85
FASTER_BELOW = 0.6
# Speeds in percent.
FULL = 100
_SLOWEST = 5
_RAISE = 15


def next_speed(speed: int, worst_share: float) -> int:
    """Return the speed of a runner's filling tasks, in percent.

    Args:
        speed: their speed until now.
        worst_share: largest tail latency of a serving task beside them,
            as a share of its target.
    """
    if worst_share >= 1.0 and speed <= _SLOWEST:
        return 0
    if worst_share >= SLOW_FROM:
        return max(speed // 2, _SLOWEST) if speed else 0
    if worst_share < FASTER_BELOW:
        return min(speed + _RAISE, FULL)
    return speed
