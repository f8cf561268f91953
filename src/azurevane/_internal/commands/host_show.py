"""``azurevane host show``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class HostShow(base.OperatorsCommand):
    """Show hosts and runners with their pool, zone and state."""

    name = "host show"
    description = "Show hosts and runners with their pool, zone and state."
    arguments = [
        helpers.argument("name", "Name in the manifest.", optional=True)
    ]
    options = [base.format_option()]

    def execute_command(self) -> status.ExitCode:
        """Print one host or runner, or all."""
        state = self.fetch_state()
        manifest = state["manifest"] or {"runners": [], "hosts": []}
        items = [*manifest["runners"], *manifest["hosts"]]
        if self.argument("name"):
            items = [
                base.find_by_name(
                    items, self.argument("name"), "host or runner"
                )
            ]
        rows = [
            (
                item["name"],
                item["pool"],
                item["zone"],
                _service_state(state, item),
            )
            for item in items
        ]
        return self.print_data(items, ("name", "pool", "zone", "state"), rows)


def _service_state(state: dict[str, list[str]], item: dict[str, str]) -> str:
    if item["name"] in state["draining"]:
        return "draining"
    if item["zone"] in state["zones_out"]:
        return "zone out"
    return "in service"
