"""Generate the reference pages from the code.

With --check, only report pages that are out of date.
"""

import importlib
import json
import logging
import pathlib
import pkgutil
import sys

from azurevane._internal import events
from azurevane._internal.events import catalogue
from azurevane._internal.metrics import instruments
from azurevane._internal.metrics import site_instruments  # noqa: F401
from azurevane._internal.operators import manifest_check
from azurevane._internal.settings import scheduling  # noqa: F401
from azurevane._internal.settings import schema

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"


def build_settings_page() -> str:
    lines = [
        "# Settings",
        "",
        "INI settings of the daemons, made from the code by",
        "`make docs`. `azurevane settings check FILE` checks a file;",
        "unknown keys are errors.",
        "",
        "| section | key | type | unit | default | range | meaning |",
        "|---|---|---|---|---|---|---|",
    ]
    for option in schema.option_by_key.values():
        default = "required" if option.default is None else option.default
        limits = ""
        if option.low is not None or option.high is not None:
            limits = f"{option.low} to {option.high}"
        lines.append(
            f"| {option.section} | {option.name} | {option.kind.__name__}"
            f" | {option.unit} | {default} | {limits} | {option.help} |"
        )
    return "\n".join(lines) + "\n"


def build_events_page() -> str:
    for module in pkgutil.iter_modules(events.__path__):
        importlib.import_module(f"{events.__name__}.{module.name}")
    lines = [
        "# Events",
        "",
        "Every log line of the daemons is one of these numbered events.",
        "Numbers are never reused. Made from the code by `make docs`.",
        "",
        "| number | name | level | meaning | fields |",
        "|---|---|---|---|---|",
    ]
    entries = sorted(
        catalogue.entry_by_type.items(), key=lambda item: item[1].number
    )
    for cls, entry in entries:
        fields = ", ".join(cls.__dataclass_fields__)
        level = logging.getLevelName(entry.level).lower()
        lines.append(
            f"| {entry.number} | {entry.name} | {level}"
            f" | {entry.summary} | {fields} |"
        )
    return "\n".join(lines) + "\n"


def build_metrics_page() -> str:
    lines = [
        "# Metrics",
        "",
        "OpenTelemetry instruments, exposed for Prometheus on the port of",
        "the setting `[metrics] port`, or of the argument `--metrics-port` of",
        "`azurevane-host`. Made from the code by `make docs`.",
        "",
        "| name | kind | unit | attributes | meaning |",
        "|---|---|---|---|---|",
    ]
    for item in instruments.instrument_by_name.values():
        lines.append(
            f"| {item.name} | {item.kind} | {item.unit}"
            f" | {', '.join(item.attributes)} | {item.description} |"
        )
    return "\n".join(lines) + "\n"


def main() -> int:
    text_by_name = {
        "settings.md": build_settings_page(),
        "events.md": build_events_page(),
        "metrics.md": build_metrics_page(),
        "manifest.schema.json": json.dumps(
            manifest_check.manifest_schema(), indent=2
        )
        + "\n",
    }
    outdated = []
    for name, text in text_by_name.items():
        path = DOCS / name
        if path.exists() and path.read_text() == text:
            continue
        outdated.append(name)
        if "--check" not in sys.argv:
            path.write_text(text)
    if outdated and "--check" in sys.argv:
        print(f"out of date, run make docs: {', '.join(outdated)}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
