"""Computes the restrictions of a change and applies them to a state."""

from collections.abc import Iterable
import dataclasses

from azurevane._internal.models import fleet
from azurevane._internal.models import manifest as manifest_models


def restrictions_between(
    old: fleet.FleetState, new: fleet.FleetState
) -> fleet.Restrictions:
    """Return the restrictions that the new state adds to the old one."""
    before, after = old.manifest, new.manifest
    usable = {
        digest: team
        for digest, team in new.team_by_digest.items()
        if after is None or team in after.team_by_name
    }
    withdrawn = tuple(
        digest
        for digest, team in old.team_by_digest.items()
        if usable.get(digest) != team
    )
    seats = tuple(
        number
        for number, seat in old.seat_by_number.items()
        if new.seat_by_number.get(number) != seat
    )
    added = fleet.Restrictions(
        api_key_digests=withdrawn,
        zones=tuple(sorted({*new.zones_out} - {*old.zones_out})),
        draining=tuple(sorted({*new.draining} - {*old.draining})),
        seats=seats,
    )
    if before is None or after is None:
        return added
    return dataclasses.replace(
        added,
        draining=tuple(
            sorted({*added.draining, *_moved_or_removed(before, after)})
        ),
        limit_by_team=_lowered_limits(before, after),
        teams_by_queue=_narrowed_queues(before, after),
        slots_by_runner=_lowered_slots(before, after),
    )


def _moved_or_removed(
    before: manifest_models.Manifest, after: manifest_models.Manifest
) -> set[str]:
    """Return the runners and hosts that were removed or moved elsewhere."""
    runners = {
        name
        for name, runner in before.runner_by_name.items()
        if name not in after.runner_by_name
        or _location(runner) != _location(after.runner_by_name[name])
    }
    hosts = {
        name
        for name, host in before.host_by_name.items()
        if name not in after.host_by_name
        or after.host_by_name[name].zone != host.zone
    }
    return runners | hosts


def _location(runner: manifest_models.Runner) -> tuple[str, str, str, int]:
    return runner.pool, runner.zone, runner.address, runner.port


def _lowered_limits(
    before: manifest_models.Manifest, after: manifest_models.Manifest
) -> dict[str, int]:
    return {
        name: after.team_by_name[name].limit
        for name, team in before.team_by_name.items()
        if name in after.team_by_name
        and after.team_by_name[name].limit < team.limit
    }


def _lowered_slots(
    before: manifest_models.Manifest, after: manifest_models.Manifest
) -> dict[str, int]:
    return {
        name: after.runner_by_name[name].slots
        for name, runner in before.runner_by_name.items()
        if name in after.runner_by_name
        and after.runner_by_name[name].slots < runner.slots
    }


def _narrowed_queues(
    before: manifest_models.Manifest, after: manifest_models.Manifest
) -> dict[str, tuple[str, ...]]:
    narrowed: dict[str, tuple[str, ...]] = {}
    for name, queue in before.queue_by_name.items():
        kept = after.queue_by_name.get(name)
        if kept is None or kept.pool != queue.pool:
            narrowed[name] = ()
        elif kept.teams and (
            not queue.teams or not {*queue.teams} <= {*kept.teams}
        ):
            narrowed[name] = kept.teams
    return narrowed


def apply_restrictions(
    state: fleet.FleetState, prepared: Iterable[fleet.Restrictions]
) -> fleet.FleetState:
    """Return a state with the restrictions of prepared changes applied."""
    for restrictions in prepared:
        state = _restrict_state(state, restrictions)
    return state


def _restrict_state(
    state: fleet.FleetState, restrictions: fleet.Restrictions
) -> fleet.FleetState:
    manifest = state.manifest
    if manifest is not None and (
        restrictions.limit_by_team
        or restrictions.teams_by_queue
        or restrictions.slots_by_runner
    ):
        manifest = _restrict_manifest(manifest, restrictions)
    return dataclasses.replace(
        state,
        manifest=manifest,
        api_keys=tuple(
            key
            for key in state.api_keys
            if key.digest not in restrictions.api_key_digests
        ),
        zones_out=tuple(sorted({*state.zones_out, *restrictions.zones})),
        draining=tuple(sorted({*state.draining, *restrictions.draining})),
        seats=tuple(
            seat
            for seat in state.seats
            if seat.number not in restrictions.seats
        ),
    )


def _restrict_manifest(
    manifest: manifest_models.Manifest, restrictions: fleet.Restrictions
) -> manifest_models.Manifest:
    limits, slots = restrictions.limit_by_team, restrictions.slots_by_runner
    queues = [
        _restrict_queue(queue, restrictions.teams_by_queue.get(queue.name))
        for queue in manifest.queues
    ]
    return dataclasses.replace(
        manifest,
        teams=tuple(
            dataclasses.replace(
                team, limit=min(team.limit, limits.get(team.name, team.limit))
            )
            for team in manifest.teams
        ),
        queues=tuple(queue for queue in queues if queue is not None),
        runners=tuple(
            dataclasses.replace(
                runner,
                slots=min(runner.slots, slots.get(runner.name, runner.slots)),
            )
            for runner in manifest.runners
        ),
    )


def _restrict_queue(
    queue: manifest_models.Queue, allowed: tuple[str, ...] | None
) -> manifest_models.Queue | None:
    if allowed is None:
        return queue
    teams = tuple(
        team for team in allowed if not queue.teams or team in queue.teams
    )
    # A queue without teams is open to all, so a queue that no team may use
    # any more is removed instead.
    return dataclasses.replace(queue, teams=teams) if teams else None
