"""Starts the entry host's program from a checkout."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

from azurevane._internal.daemons import site_host  # noqa: E402

site_host.main()
