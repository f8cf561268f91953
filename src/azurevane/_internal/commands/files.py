"""Reading of files that are passed on the command line."""

import json
import pathlib
from typing import Any

from azurevane import exceptions


def load_json(path: str) -> Any:
    """Return the decoded content of a JSON file.

    Raises:
        ManifestError: the file can't be read or isn't JSON; the text has
            the position of the error.
    """
    try:
        return json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.ManifestError((f"{path}: {error}",)) from error
    except json.JSONDecodeError as error:
        raise exceptions.ManifestError(
            (f"{path}:{error.lineno}:{error.colno}: {error.msg}",)
        ) from error
