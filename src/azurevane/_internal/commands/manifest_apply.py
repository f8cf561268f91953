"""``azurevane manifest apply``."""

import json
import pathlib

from cleo import helpers
from cleo.commands import command

from azurevane._internal.commands import registry
from azurevane._internal.commands import status
from azurevane._internal.operators import client


@registry.register
class ManifestApply(command.Command):
    """Make a manifest the state that the fleet follows."""

    name = "manifest apply"
    description = "Make a manifest the state that the fleet follows."
    arguments = [helpers.argument("file", "Manifest file (JSON).")]
    options = [
        helpers.option(
            "base-version",
            None,
            "Version that the manifest was made from.",
            flag=False,
        )
    ]

    def handle(self) -> int:
        """Apply the manifest and print the version that it became."""
        operators = client.OperatorsClient.from_environment()
        content = json.loads(
            pathlib.Path(self.argument("file")).read_text(encoding="utf-8")
        )
        base = self.option("base-version")
        code, body = operators.call(
            "POST",
            "/v1/changes",
            {
                "kind": "manifest",
                "base_version": int(base) if base is not None else None,
                "content": content,
            },
        )
        if code == 200:
            self.line(f"Version {body['version']} accepted")
            return status.ExitCode.OK
        self.line_error(json.dumps(body))
        if code == 409:
            return status.ExitCode.CONFLICT
        if code == 422:
            return status.ExitCode.INVALID
        return status.ExitCode.UNAVAILABLE
