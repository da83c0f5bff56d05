"""Typed access to one object of a parsed JSON document; each error names the key at fault.

The platform's file is not read into structs: unknown keys are passed over, whole numbers may be written as
floats, and its reader has to do without msgspec, which a balancer without an operator's file does not import.
"""

from collections.abc import Mapping
from math import isfinite

from wheatstile.config.errors import MissingKeyError, SettingsError, WrongTypeError


class Section:
    """One object, and the prefix that names its keys in messages. Raises SettingsError in all its methods."""

    def __init__(self, value: object, prefix: str = "") -> None:
        if not isinstance(value, dict):
            raise WrongTypeError(prefix.rstrip(".") or "the document", "an object", value)
        self._values: Mapping[str, object] = value
        self._prefix = prefix

    def get(self, key: str, default: object) -> object:
        """Return the value as it is, whatever its type."""
        return self._values.get(key, default)

    def require(self, key: str) -> object:
        """Return the value as it is. Raises MissingKeyError."""
        try:
            return self._values[key]
        except KeyError:
            raise MissingKeyError(key) from None

    def section(self, key: str) -> "Section":
        """Return the object under this key. Raises MissingKeyError."""
        return Section(self.require(key), f"{self._prefix}{key}.")

    def optional_section(self, key: str) -> "Section":
        """Return the object under this key, an empty one if it is missing."""
        return Section(self.get(key, {}), f"{self._prefix}{key}.")

    def sections(self, key: str) -> list["Section"]:
        """Return the objects of the list under this key. Raises MissingKeyError."""
        values = iterable(self.require(key), f"{self._prefix}{key}")
        return [Section(value, f"{self._prefix}{key}[{index}].") for index, value in enumerate(values)]

    def optional_sections(self, key: str) -> list["Section"]:
        """Return the objects of the list under this key, none if it is missing."""
        return self.sections(key) if key in self._values else []

    def text(self, key: str) -> str:
        """Return the string under this key. Raises MissingKeyError."""
        value = self.require(key)
        if not isinstance(value, str):
            raise WrongTypeError(f"{self._prefix}{key}", "a string", value)
        return value

    def name(self, key: str) -> str:
        """Return the string under this key, or a number or null as text. Raises MissingKeyError."""
        return checked_name(self.require(key), f"{self._prefix}{key}")

    def names(self, key: str) -> list[str]:
        """Return the strings, as `name` has them, of the list under this key; none if it is missing."""
        location = f"{self._prefix}{key}"
        return [checked_name(value, location) for value in iterable(self.get(key, []), location)]

    def flag(self, key: str) -> bool:
        """Whether the key holds anything that counts as true; false if it is missing."""
        return bool(self.get(key, False))

    def number(self, key: str, least: float, default: float | None = None) -> float:
        """Return the finite number under this key, `least` or more.

        Raises MissingKeyError without a default.
        """
        value = self.require(key) if default is None else self.get(key, default)
        return checked_number(value, f"{self._prefix}{key}", least)

    def integer(self, key: str, least: float, default: int | None = None) -> int:
        """As `number`, without its fraction."""
        return int(self.number(key, least, default))


def checked_number(value: object, location: str, least: float) -> float:
    """Return the value if it is a finite number, `least` or more; else raise SettingsError naming it."""
    # JSON's true would pass as 1, and the standard library reads NaN and Infinity.
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value) or value < least:
        raise SettingsError(f"settings: {location} must be a number of {least:g} or more, not {value!r}")
    return value


def checked_name(value: object, location: str) -> str:
    """Return the value as text, if it is no list or object. Raises WrongTypeError naming the location."""
    if isinstance(value, list | dict):
        raise WrongTypeError(location, "a string", value)
    return str(value)


def iterable(value: object, location: str) -> list[object]:
    """Return the elements of a list. Raises WrongTypeError naming the location."""
    if not isinstance(
        value, list | dict | str
    ):  # the latter two pass where they are empty: elements are checked
        raise WrongTypeError(location, "a list", value)
    return list(value)
