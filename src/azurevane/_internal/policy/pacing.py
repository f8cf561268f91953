"""Controls the speed of filling tasks on a runner.

Filling tasks slow down the serving tasks on the same runner by amounts that
aren't declared and that change within seconds. The speed is halved while
the worst tail latency is near its target and raised in steps while it is
well below, so no constants per image are needed.
"""

# Ratios of tail latency to its target at which filling tasks are slowed down
# and below which they are sped up.
SLOW_DOWN_FROM_RATIO = 0.85
SPEED_UP_BELOW_RATIO = 0.6
FULL_SPEED_PERCENT = 100
_MIN_SPEED_PERCENT = 5
_SPEED_STEP_PERCENT = 15


def next_speed(speed: int, worst_latency_ratio: float) -> int:
    """Return the speed of a runner's filling tasks, in percent.

    Args:
        speed: current speed, in percent.
        worst_latency_ratio: largest ratio of tail latency to its target
            among the serving tasks on the runner.
    """
    if worst_latency_ratio >= 1.0 and speed <= _MIN_SPEED_PERCENT:
        return 0
    if worst_latency_ratio >= SLOW_DOWN_FROM_RATIO:
        return max(speed // 2, _MIN_SPEED_PERCENT) if speed else 0
    if worst_latency_ratio < SPEED_UP_BELOW_RATIO:
        return min(speed + _SPEED_STEP_PERCENT, FULL_SPEED_PERCENT)
    return speed
