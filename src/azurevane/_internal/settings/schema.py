"""Settings of the daemons with their units, defaults and ranges."""

import dataclasses
from typing import TypeAlias

Value: TypeAlias = str | int | float | bool


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """Definition of one setting.

    Attributes:
        kind: ``str``, ``int``, ``float`` or ``bool``.
        default: value if the file doesn't set it; None if it is required.
        help: meaning of the setting, shown to users.
        unit: unit of the value, or an empty string.
        low: minimum value, if any.
        high: maximum value, if any.
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


def define_option(option: Option) -> Option:
    """Register a setting under its section and name."""
    option_by_key[option.section, option.name] = option
    return option


define_option(Option("host", "name", str, None, "Name of this entry host."))
define_option(
    Option("host", "zone", str, None, "Availability zone of this host.")
)
define_option(
    Option(
        "host",
        "address",
        str,
        "127.0.0.1",
        "IP address on which this host listens and is reachable.",
    )
)
define_option(
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
define_option(
    Option(
        "callers",
        "drain_seconds",
        float,
        2.0,
        "Time for which a stopping process reports not ready but still"
        " accepts requests, so that the load balancer notices first.",
        unit="s",
        low=0.0,
        high=60.0,
    )
)
define_option(
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
define_option(
    Option(
        "operators",
        "token_digest",
        str,
        None,
        "Hex SHA-256 digest of the operators' credential.",
    )
)
define_option(
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
define_option(
    Option(
        "peers",
        "members",
        str,
        "",
        "Other entry hosts as a comma-separated list of name=address:port.",
    )
)
define_option(
    Option(
        "platform",
        "url",
        str,
        None,
        "Base URL of the platform's table service.",
    )
)
define_option(
    Option(
        "platform",
        "timeout",
        float,
        2.0,
        "Timeout of a call to the platform.",
        unit="s",
        low=0.1,
        high=60.0,
    )
)
define_option(
    Option(
        "log",
        "level",
        str,
        "info",
        "Lowest level that is logged, from debug to error.",
    )
)
define_option(
    Option("log", "format", str, "json", "Log format: json or text.")
)
define_option(
    Option(
        "metrics",
        "port",
        int,
        0,
        "TCP port of the entry daemon's /metrics; 0 disables it.",
        low=0,
        high=65535,
    )
)
define_option(
    Option(
        "metrics",
        "control_port",
        int,
        0,
        "TCP port of the control daemon's /metrics; 0 disables it.",
        low=0,
        high=65535,
    )
)
define_option(
    Option(
        "metrics",
        "otlp_url",
        str,
        "",
        "URL to which metrics are sent by OTLP over HTTP; empty disables it.",
    )
)
define_option(
    Option(
        "metrics",
        "otlp_interval",
        float,
        10.0,
        "Interval between exports by OTLP.",
        unit="s",
        low=0.1,
        high=3600.0,
    )
)
define_option(
    Option(
        "invariants",
        "check",
        bool,
        False,
        "Whether the program checks its invariants at run time.",
    )
)
