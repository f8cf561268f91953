"""Parses network addresses in the platform's notation."""

from azurevane import exceptions
from azurevane._internal.models import host_settings


def parse_address(text: str) -> host_settings.Address:
    """Return the address of a text of the form ``IP:PORT``.

    Raises:
        SettingsError: the text has another form.
    """
    ip, separator, port = text.rpartition(":")
    if not separator or not port.isdigit():
        raise exceptions.SettingsError(f"{text!r} isn't of the form IP:PORT")
    return host_settings.Address(ip, int(port))
