"""Parses network addresses in the platform's notation."""

import ipaddress

from azurevane import exceptions
from azurevane._internal.models import host_settings

_PORT_END = 1 << 16


def parse_address(text: str) -> host_settings.Address:
    """Return the address of a text of the form ``IP:PORT``.

    Raises:
        SettingsError: the text has another form.
    """
    ip, _, port_text = text.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
        usable = port_text.isascii() and port_text.isdigit()
        port = int(port_text) if usable else 0
    except ValueError:
        port = 0
    if not 0 < port < _PORT_END:
        raise exceptions.SettingsError(f"{text!r} isn't of the form IP:PORT")
    return host_settings.Address(ip, port)
