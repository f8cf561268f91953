"""Log formatters: JSON lines for programs, text for people."""

import logging
import sys

import msgspec


class JsonFormatter(logging.Formatter):
    """Formats each record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON with its event number and fields."""
        entry = getattr(record, "event", None)
        line = {
            "time": record.created,
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        if entry is not None:
            line["event"] = entry.number
            line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


class TextFormatter(logging.Formatter):
    """Formats each record as one line of text."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as text with its fields as key=value."""
        text = super().format(record)
        fields = getattr(record, "fields", {})
        pairs = " ".join(f"{key}={value}" for key, value in fields.items())
        return f"{text} {pairs}".rstrip()


def configure_logging(level: str, output_format: str) -> None:
    """Write log records to standard error as ``json`` or ``text``."""
    handler = logging.StreamHandler(sys.stderr)
    if output_format == "json":
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(
            TextFormatter("%(asctime)s %(levelname)s %(message)s")
        )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
