"""Settings of the daemons: names, units, defaults and ranges."""

import dataclasses
from typing import TypeAlias

Value: TypeAlias = str | int | float | bool


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """One setting.

    Attributes:
        kind: ``str``, ``int``, ``float`` or ``bool``.
        default: value if the file has none; None if it is required.
        unit: unit of the value, or an empty text.
        low: least value allowed, if any.
        high: greatest value allowed, if any.
    """

    section: str
    name: str
    kind: type
    default: Value | None
    help: str
    unit: str = ""
    low: float | None = None
    high: float | None = None


option_by_key: dict[tuple[str, str], Option] = {}


def define(option: Option) -> Option:
    """Register a setting under its section and name."""
    option_by_key[option.section, option.name] = option
    return option


define(Option("host", "name", str, None, "Name of this entry host."))
define(Option("host", "zone", str, None, "Availability zone of this host."))
define(
    Option(
        "host",
        "address",
        str,
        "127.0.0.1",
        "IP address on which this host listens and is reached.",
    )
)
define(
    Option(
        "callers",
        "port",
        int,
        8080,
        "TCP port for callers.",
        low=0,
        high=65535,
    )
)
define(
    Option(
        "callers",
        "drain_seconds",
        float,
        2.0,
        "Time for which a stopping process is unready but still accepts,"
        " so that the balancer sees it first.",
        unit="s",
        low=0.0,
        high=60.0,
    )
)
define(
    Option(
        "operators",
        "port",
        int,
        8081,
        "TCP port for operators.",
        low=0,
        high=65535,
    )
)
define(
    Option(
        "operators",
        "token_digest",
        str,
        None,
        "Hex SHA-256 of the credential that operators present.",
    )
)
define(
    Option(
        "peers",
        "port",
        int,
        8082,
        "TCP port for the other entry hosts.",
        low=0,
        high=65535,
    )
)
define(
    Option(
        "peers",
        "members",
        str,
        "",
        "Other entry hosts, as name=address:port, separated by commas.",
    )
)
define(
    Option(
        "platform",
        "url",
        str,
        None,
        "Base URL of the platform's table service.",
    )
)
define(
    Option(
        "platform",
        "timeout",
        float,
        2.0,
        "Time after which a call to the platform is given up.",
        unit="s",
        low=0.1,
        high=60.0,
    )
)
define(
    Option("log", "level", str, "info", "Least level logged: debug to error.")
)
define(Option("log", "format", str, "json", "Log format: json or text."))
define(
    Option(
        "metrics",
        "port",
        int,
        0,
        "TCP port of the entry daemon's /metrics; 0 for none.",
        low=0,
        high=65535,
    )
)
define(
    Option(
        "metrics",
        "control_port",
        int,
        0,
        "TCP port of the control daemon's /metrics; 0 for none.",
        low=0,
        high=65535,
    )
)
define(
    Option(
        "metrics",
        "otlp_url",
        str,
        "",
        "URL to which metrics are sent by OTLP over HTTP; empty for none.",
    )
)
define(
    Option(
        "metrics",
        "otlp_interval",
        float,
        10.0,
        "Time between two sendings by OTLP.",
        unit="s",
        low=0.1,
        high=3600.0,
    )
)
define(
    Option(
        "invariants",
        "check",
        bool,
        False,
        "Whether the program checks its invariants while it runs.",
    )
)
