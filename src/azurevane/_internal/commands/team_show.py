"""``azurevane team show``."""

from cleo import helpers

from azurevane._internal.commands import base
from azurevane._internal.commands import registry
from azurevane._internal.commands import status


@registry.register
class TeamShow(base.OperatorsCommand):
    """Show teams with their share, upper limit and number of keys."""

    name = "team show"
    description = "Show teams: share, upper limit, number of keys."
    arguments = [helpers.argument("name", "Name of the team.", optional=True)]
    options = [base.format_option()]

    def execute_command(self) -> status.ExitCode:
        """Print one team, or all."""
        state = self.fetch_state()
        manifest = state["manifest"] or {"teams": []}
        teams = manifest["teams"]
        if self.argument("name"):
            teams = [base.find_by_name(teams, self.argument("name"), "team")]
        rows = [
            (
                team["name"],
                team["share"],
                team["limit"],
                sum(k["team"] == team["name"] for k in state["api_keys"]),
            )
            for team in teams
        ]
        return self.print_data(teams, ("team", "share", "limit", "keys"), rows)
