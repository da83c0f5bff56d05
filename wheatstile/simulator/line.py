"""Parses lines of the simulator's wire protocol: `NAME<tab>key=value<tab>...`, a message and its fields."""

from wheatstile import interface as api
from wheatstile.config.reports import parse_load_report
from wheatstile.config.settings import LOAD_METRICS

FLAG_SET = "1"


class WireError(ValueError):
    """A line is malformed. The message names the invalid field and its value."""


class Fields:
    """Typed access to the fields of one message. Methods raise WireError, which names the key."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values

    def text(self, key: str, default: str | None = None) -> str:
        """Return the text at this key. Without a default, the key is required."""
        value = self._values.get(key, default)
        if value is None:
            raise WireError(f"{key} is missing")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        """Return the integer at this key. Without a default, the key is required."""
        value = self._values.get(key)
        if value is None:
            if default is None:
                raise WireError(f"{key} is missing")
            return default
        try:
            return int(value)
        except ValueError:
            raise WireError(f"{key} is not a whole number: {value}") from None

    def number(self, key: str, default: float) -> float:
        """Return the number at this key, or the default."""
        try:
            return float(self._values.get(key, default))
        except ValueError:
            raise WireError(f"{key} is not a number: {self._values[key]}") from None

    def flag(self, key: str) -> bool:
        """Return whether the key is present and its value is 1."""
        return self._values.get(key) == FLAG_SET

    def load_report(self) -> api.LoadReport | None:
        """Return the load report in `stats`; None if the message has none."""
        stats = self._values.get("stats")
        return parse_load_report(stats, ":", LOAD_METRICS) if stats else None


def parse_line(line: str) -> tuple[str, Fields]:
    """Split a line into the message's name and its fields. Raises WireError."""
    name, *parts = line.split("\t")
    values = {}
    for part in parts:
        key, separator, value = part.partition("=")
        if not separator:
            raise WireError(f"{name}: '{part}' is not name=value")
        values[key] = value
    return name, Fields(values)
