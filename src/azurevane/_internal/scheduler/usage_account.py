"""Accounts of what teams have held of all pools."""

from collections.abc import Mapping, Sequence

from azurevane._internal.policy import fair_shares

# Accounts that a renewal carries at most, the largest first. It is written
# each 0.6 s, and an account takes up to 60 bytes of it.
MAX_STORED_ACCOUNTS = 200


class UsageAccount:
    """Account of each team; times are monotonic seconds.

    The accounts advance at the beginning of each planning pass, so a change
    costs them nothing. What ended since the pass before counts as not held
    since then; a pass follows each end within some thousandths of a second.

    Args:
        held_by_team: amounts of processor, memory and accelerators that the
            runs of each team hold. The caller keeps it up to date.
    """

    def __init__(self, held_by_team: Mapping[str, Sequence[int]]) -> None:
        self._held_by_team = held_by_team
        self._account_by_team: dict[str, tuple[float, ...]] = {}
        self._advanced_at: float | None = None

    def restore(self, stored: Mapping[str, Sequence[float]]) -> None:
        """Go on with the accounts that a previous leader stored."""
        self._account_by_team = {
            team: tuple(map(float, amounts))
            for team, amounts in stored.items()
            if len(amounts) == 3
        }

    def advance_accounts(self, now: float) -> dict[str, tuple[float, ...]]:
        """Return the accounts; all jobs must have been read.

        Without accounts of before, the first ones are what runs now.
        """
        if self._advanced_at is None and not self._account_by_team:
            self._account_by_team = {
                team: tuple(map(float, held))
                for team, held in self._held_by_team.items()
            }
        elapsed_s = now - (self._advanced_at or now)
        self._advanced_at = now
        for team in self._account_by_team.keys() | self._held_by_team.keys():
            self._account_by_team[team] = fair_shares.average_held(
                self._account_by_team.get(team, (0.0, 0.0, 0.0)),
                self._held_by_team.get(team, (0, 0, 0)),
                elapsed_s,
            )
        return self._account_by_team

    def stored_accounts(self) -> dict[str, list[int]]:
        """Return the accounts for the renewal, rounded and bounded."""
        rounded = [
            (team, [round(amount) for amount in amounts])
            for team, amounts in self._account_by_team.items()
        ]
        rounded = [item for item in rounded if any(item[1])]
        rounded.sort(key=lambda item: item[1], reverse=True)
        return dict(rounded[:MAX_STORED_ACCOUNTS])
