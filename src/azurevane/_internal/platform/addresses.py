"""Addresses as the platform writes them."""

from azurevane import exceptions
from azurevane._internal.models import host_settings


def parse_address(text: str) -> host_settings.Address:
    """Return the address that ``IP:PORT`` names.

    Raises:
        SettingsError: the text has another form.
    """
    ip, separator, port = text.rpartition(":")
    if not separator or not port.isdigit():
        raise exceptions.SettingsError(f"{text!r} isn't an address IP:PORT")
    return host_settings.Address(ip, int(port))
