"""Decides which seat an entry host may take."""

from collections.abc import Collection
import dataclasses
import hashlib

from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models
from azurevane._internal.policy import limits


def base_wait_s(state: fleet.FleetState, seat: fleet.Seat) -> float:
    """Return how long a new holder must wait to use its seat's base parts."""
    if state.manifest is None:
        return 0.0
    longest_run_s = max(
        (queue.max_run_s for queue in state.manifest.queues), default=0.0
    )
    return limits.base_usable_at(
        0.0, seat.epoch, longest_run_s, clean=seat.clean
    )


def choose_seat(
    state: fleet.FleetState,
    host: str,
    incarnation: str,
    lost_holders: Collection[str],
) -> fleet.Seat | None:
    """Return the seat that a host should take, or None.

    The order of preference is: the seat that the host itself held, a
    released seat, a seat that was never taken, and the seat of a lost
    holder.

    Args:
        lost_holders: holders that are believed to be dead. This is only a
            hint: the new epoch of the seat and the wait of its new holder
            make a wrong entry harmless.
    """
    seat_by_number = state.seat_by_number
    if state.seat_of(host, incarnation) is not None:
        return None
    for seat in seat_by_number.values():
        if seat.holder == host:
            return fleet.Seat(seat.number, host, incarnation, seat.epoch + 1)
    released = [n for n, seat in seat_by_number.items() if not seat.holder]
    if released:
        number = _pick_seat(released, host)
        seat = seat_by_number[number]
        return fleet.Seat(
            number, host, incarnation, seat.epoch + 1, clean=seat.clean
        )
    unused = [n for n in range(state.entry_seats) if n not in seat_by_number]
    if unused:
        return fleet.Seat(_pick_seat(unused, host), host, incarnation, 1)
    lost = [
        n for n, seat in seat_by_number.items() if seat.holder in lost_holders
    ]
    if lost:
        number = _pick_seat(lost, host)
        return fleet.Seat(
            number, host, incarnation, seat_by_number[number].epoch + 1
        )
    return None


def released_seat(
    state: fleet.FleetState, host: str, incarnation: str
) -> fleet.Seat | None:
    """Return a host's seat after its release, or None if it holds none."""
    seat = state.seat_of(host, incarnation)
    if seat is None:
        return None
    return fleet.Seat(seat.number, "", "", seat.epoch, clean=True)


def seats_under_manifest(
    state: fleet.FleetState, manifest: manifest_models.Manifest
) -> tuple[fleet.Seat, ...]:
    """Return a state's seats once a new manifest replaces its manifest.

    If the new one lowers a limit, the next holder of a released seat waits
    as after a crash: it may have started later and not know that older work
    still runs above the limit.
    """
    previous = state.manifest
    if previous is None or not _lowers_a_limit(previous, manifest):
        return state.seats
    return tuple(
        seat if seat.holder else dataclasses.replace(seat, clean=False)
        for seat in state.seats
    )


def _lowers_a_limit(
    previous: manifest_models.Manifest, manifest: manifest_models.Manifest
) -> bool:
    limit_by_team = {team.name: team.request_limit for team in manifest.teams}
    slots_by_runner = {
        runner.name: runner.slots for runner in manifest.runners
    }
    return any(
        limit_by_team.get(team.name, 0) < team.request_limit
        for team in previous.teams
    ) or any(
        slots_by_runner.get(runner.name, 0) < runner.slots
        for runner in previous.runners
    )


def _pick_seat(numbers: list[int], host: str) -> int:
    """Choose a seat by hash, so that hosts that start together differ."""
    return min(
        numbers,
        key=lambda n: hashlib.sha256(f"{host}/{n}".encode()).digest(),
    )
