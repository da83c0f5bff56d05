"""The form of the wire's lines: a message's name and its fields, `NAME<tab>key=value<tab>...`."""

from wheatstile import interface as api
from wheatstile.config.reports import parse_load_report
from wheatstile.config.settings import LOAD_METRICS


class WireError(ValueError):
    """A line that does not keep to the wire's form; the text says what is wrong."""


class Fields:
    """The fields of one message, by typed access. Each method raises WireError naming the key at fault."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values

    def text(self, key: str, default: str | None = None) -> str:
        """Return the value as it is; without a default the key is required."""
        value = self._values.get(key, default)
        if value is None:
            raise WireError(f"{key} is missing")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        """Return the whole number under this key; without a default the key is required."""
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
        """Return the number under this key."""
        try:
            return float(self._values.get(key, default))
        except ValueError:
            raise WireError(f"{key} is not a number: {self._values[key]}") from None

    def flag(self, key: str) -> bool:
        """Whether the key is there and set."""
        return self._values.get(key, "0") == "1"

    def load_report(self) -> api.LoadReport | None:
        """Return the load report in `stats`, if there is one."""
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
