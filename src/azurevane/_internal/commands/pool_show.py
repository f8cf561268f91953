"""``azurevane pool show``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class PoolShow(base.OperatorsCommand):
    """Show pools with their runners, slots, hosts and unavailable members."""

    name = "pool show"
    description = (
        "Show pools: runners, slots, hosts, how many are unavailable (away)."
    )
    arguments = [helpers.argument("name", "Name of the pool.", optional=True)]
    options = [base.format_option()]

    def execute_command(self) -> status.ExitCode:
        """Print one pool, or all."""
        state = self.fetch_state()
        manifest = state["manifest"] or {"pools": []}
        pools = manifest["pools"]
        if self.argument("name"):
            pools = [base.find_by_name(pools, self.argument("name"), "pool")]
        rows = [_build_row(state, manifest, pool) for pool in pools]
        headers = ("pool", "spare", "runners", "slots", "hosts", "away")
        data = [dict(zip(headers, row, strict=True)) for row in rows]
        return self.print_data(data, headers, rows)


def _build_row(
    state: dict[str, list[str]],
    manifest: dict[str, list[dict[str, str]]],
    pool: dict[str, str],
) -> tuple[object, ...]:
    runners = [
        item for item in manifest["runners"] if item["pool"] == pool["name"]
    ]
    hosts = [
        item for item in manifest["hosts"] if item["pool"] == pool["name"]
    ]
    unavailable = [
        item
        for item in [*runners, *hosts]
        if item["name"] in state["draining"]
        or item["zone"] in state["zones_out"]
    ]
    slots = sum(int(item["slots"]) for item in runners)
    return (
        pool["name"],
        pool["spare"],
        len(runners),
        slots,
        len(hosts),
        len(unavailable),
    )
