"""Base class of the operators' commands, with API calls and output."""

from collections.abc import Sequence
import json
from typing import Any

from cleo import helpers
from cleo.commands import command
from cleo.io.inputs import option as option_module
from cleo.ui import table

from azurevane import exceptions
from azurevane._internal.commands import status
from azurevane._internal.operators import client

_CODE_BY_HTTP_STATUS = {
    200: status.ExitCode.OK,
    404: status.ExitCode.NOT_FOUND,
    409: status.ExitCode.CONFLICT,
    422: status.ExitCode.INVALID,
}
_CODE_BY_ERROR: dict[type[Exception], status.ExitCode] = {
    exceptions.SettingsError: status.ExitCode.USAGE,
    exceptions.ManifestError: status.ExitCode.INVALID,
    exceptions.StoreUnavailable: status.ExitCode.UNAVAILABLE,
    exceptions.NotFound: status.ExitCode.NOT_FOUND,
}


def format_option() -> option_module.Option:
    """Return the ``--format`` option of a command that shows data."""
    return helpers.option(
        "format",
        None,
        "Output format: table for people, json for programs.",
        flag=False,
        default="table",
    )


class OperatorsCommand(command.Command):
    """Base class of commands that call the operators' API of an entry host."""

    def handle(self) -> int:
        """Run the command and return its exit code.

        An expected error is printed as a message and determines the exit
        code; its traceback is shown only with ``-vv``.
        """
        try:
            return int(self.execute_command())
        except exceptions.AzurevaneError as error:
            if self.io.is_very_verbose():
                raise
            for line in str(error).splitlines():
                self.line_error(f"Error: {line}")
            return int(_CODE_BY_ERROR.get(type(error), status.ExitCode.FAILED))

    def execute_command(self) -> status.ExitCode:
        """Execute the command; overridden by each command."""
        raise LookupError(self.name)

    @property
    def api_client(self) -> client.OperatorsClient:
        """Client with the address and credential from the environment."""
        return client.OperatorsClient.from_environment()

    def fetch_state(self) -> Any:
        """Return the fleet state in force at an entry host.

        Raises:
            StoreUnavailable: no entry host answered.
        """
        http_status, body = self.api_client.call("GET", "/v1/state")
        if http_status != 200:
            raise exceptions.StoreUnavailable(
                "The entry host answered with HTTP status"
                f" {http_status}: {body}"
            )
        return body

    def make_change(
        self, kind: str, content: Any, base_version: int | None = None
    ) -> status.ExitCode:
        """Submit a change and print its outcome."""
        response = self.api_client.submit_change(kind, content, base_version)
        if response.status == 200:
            self.line(f"Version {response.body['version']} accepted")
            return status.ExitCode.OK
        if response.status == 0:
            self.line_error(
                "Outcome unknown: no entry host answered. Query it with:"
                f" azurevane change show {response.change_id}"
            )
            return status.ExitCode.UNKNOWN_OUTCOME
        self.print_problems(response.body)
        return exit_code_for_status(response.status)

    def print_problems(self, body: Any) -> None:
        """Print the problems of a refused call, one per line."""
        problems = body.get("problems") or [_describe_refusal(body)]
        for problem in problems:
            self.line_error(f"Error: {problem}")

    def print_data(
        self, data: Any, headers: Sequence[str], rows: Sequence[Sequence[Any]]
    ) -> status.ExitCode:
        """Print the data as JSON, or the rows as a table."""
        if self.option("format") == "json":
            self.line(json.dumps(data, indent=2, sort_keys=True))
            return status.ExitCode.OK
        rendered = table.Table(self.io)
        rendered.set_headers(list(headers))
        rendered.set_rows([[str(cell) for cell in row] for row in rows])
        rendered.render()
        return status.ExitCode.OK


def exit_code_for_status(http_status: int) -> status.ExitCode:
    """Return the exit code for an HTTP status."""
    return _CODE_BY_HTTP_STATUS.get(http_status, status.ExitCode.UNAVAILABLE)


def find_by_name(items: Sequence[Any], name: str, kind: str) -> Any:
    """Return the item that has a name.

    Raises:
        NotFound: there is no such item; the text lists the existing names.
    """
    for item in items:
        if item["name"] == name:
            return item
    names = ", ".join(item["name"] for item in items) or "none"
    raise exceptions.NotFound(
        f"There is no {kind} {name!r}; existing names: {names}"
    )


def _describe_refusal(body: dict[str, Any]) -> str:
    if body.get("error") == "version":
        return (
            f"another change was made first; the current version is"
            f" {body['current_version']}; changed since:"
            f" {body.get('changed') or 'unknown'}"
        )
    return json.dumps(body)
