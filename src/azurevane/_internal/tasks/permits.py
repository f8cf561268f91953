"""What the dispatcher needs of the permit keeper."""

from typing import Protocol

from azurevane._internal.models import effects


def team_limit_key(team: str) -> str:
    """Return the key of a team's divided upper limit."""
    return f"team:{team}"


def runner_limit_key(runner: str) -> str:
    """Return the key of a runner's divided slots."""
    return f"runner:{runner}"


class Permits(Protocol):
    """Permits of divided limits that this host may use."""

    def free(self, now: float, limit_key: str) -> int:
        """Return how many more permits may be used here now."""

    def acquire(
        self, now: float, limit_key: str, holder: str, not_after: float
    ) -> bool:
        """Use a permit until ``release``; False if none is free.

        Args:
            holder: submission id.
            not_after: monotonic seconds by which the run has ended.
        """

    def release(self, now: float, holder: str) -> list[effects.Effect]:
        """Free every permit of a holder whose run has ended."""

    def want(
        self,
        now: float,
        kind: str,
        name: str,
        count: int,
        rank: float,
        waited_s: float,
    ) -> list[effects.Effect]:
        """Say how many permits waiting work could use.

        Args:
            kind: ``team`` or ``pool``.
            count: 0 ends the wish. For a team, count all its waiting
                work, also what has a permit free here and lacks only a
                slot: the wish keeps that permit from less deserving
                work at peers. For a pool, count what lacks only a slot.
            rank: used slot seconds by weight of the most deserving
                waiter; the lowest is served first.
        """
