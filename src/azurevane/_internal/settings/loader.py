"""Loads and validates INI settings."""

from collections.abc import Collection, Mapping
import configparser
import difflib
import pathlib

from azurevane import exceptions
from azurevane._internal.settings import schema


class Settings:
    """Validated settings of one program."""

    def __init__(
        self, value_by_key: dict[tuple[str, str], schema.Value]
    ) -> None:
        self._value_by_key = value_by_key

    def text(self, section: str, name: str) -> str:
        """Return a text setting."""
        return str(self._value_by_key[section, name])

    def integer(self, section: str, name: str) -> int:
        """Return an integer setting."""
        return int(self._value_by_key[section, name])

    def number(self, section: str, name: str) -> float:
        """Return a numeric setting in the unit of its option."""
        return float(self._value_by_key[section, name])

    def flag(self, section: str, name: str) -> bool:
        """Return a boolean setting."""
        return bool(self._value_by_key[section, name])


def load_settings(
    path: pathlib.Path, sections: Collection[str] | None = None
) -> Settings:
    """Read and validate a settings file.

    Args:
        sections: sections that the file may have; None for all.

    Raises:
        SettingsError: the file can't be read or is invalid; the text lists
            every problem.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, configparser.Error, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(
            f"Can't read settings file {path}: {error}"
        ) from error
    problems: list[str] = []
    option_by_key = {
        key: option
        for key, option in schema.option_by_key.items()
        if sections is None or option.section in sections
    }
    value_by_key = _parse_known_settings(parser, option_by_key, problems)
    _report_unknown_settings(parser, option_by_key, problems)
    if problems:
        raise exceptions.SettingsError(
            "\n".join(f"{path}: {problem}" for problem in problems)
        )
    return Settings(value_by_key)


def _parse_known_settings(
    parser: configparser.ConfigParser,
    option_by_key: Mapping[tuple[str, str], schema.Option],
    problems: list[str],
) -> dict[tuple[str, str], schema.Value]:
    value_by_key: dict[tuple[str, str], schema.Value] = {}
    for key, option in option_by_key.items():
        setting_name = f"[{option.section}] {option.name}"
        raw = parser.get(option.section, option.name, fallback=None)
        if raw is None:
            if option.default is None:
                problems.append(f"{setting_name}: is required; {option.help}")
            else:
                value_by_key[key] = option.default
            continue
        try:
            value_by_key[key] = parse_value(option, raw)
        except ValueError as error:
            problems.append(f"{setting_name}: {error}")
    return value_by_key


def parse_value(option: schema.Option, raw: str) -> schema.Value:
    """Convert and validate the text of one setting.

    Raises:
        ValueError: the text isn't a valid value of the option.
    """
    if option.kind is str:
        return raw
    if option.kind is bool:
        states = configparser.ConfigParser.BOOLEAN_STATES
        if raw.lower() not in states:
            raise ValueError(f"{raw!r} is not a boolean (yes or no)")
        return states[raw.lower()]
    try:
        value: int | float = option.kind(raw)
    except ValueError:
        raise ValueError(
            f"{raw!r} is not a valid {option.kind.__name__}"
        ) from None
    low = option.low if option.low is not None else float("-inf")
    high = option.high if option.high is not None else float("inf")
    if not low <= value <= high:
        raise ValueError(
            f"{raw} {option.unit} is outside the range {low} to {high}"
        )
    return value


def _report_unknown_settings(
    parser: configparser.ConfigParser,
    option_by_key: Mapping[tuple[str, str], schema.Option],
    problems: list[str],
) -> None:
    known = [f"[{s}] {n}" for s, n in option_by_key]
    for section in parser.sections():
        for name in parser.options(section):
            if (section, name) in option_by_key:
                continue
            setting_name = f"[{section}] {name}"
            matches = difflib.get_close_matches(setting_name, known, n=1)
            hint = f"; did you mean {matches[0]}?" if matches else ""
            problems.append(f"{setting_name}: unknown setting{hint}")
