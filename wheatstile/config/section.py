"""Typed access to an object in a parsed JSON document, with errors that name the invalid key.

The platform's file is not decoded with msgspec, because its unknown keys are ignored, its integers may be
written as floats, and a balancer without an operator's file must not import msgspec.
"""

from collections.abc import Mapping
from math import isfinite
from typing import TypeGuard

from wheatstile.config.errors import MissingKeyError, SettingsError, WrongTypeError


class Section:
    """One JSON object. Every method raises SettingsError for an invalid value.

    Error messages put `prefix`, the path of the object, before a key.
    """

    def __init__(self, value: object, prefix: str = "") -> None:
        if not isinstance(value, dict):
            raise WrongTypeError(prefix.rstrip(".") or "the document", "an object", value)
        self._values: Mapping[str, object] = value
        self._prefix = prefix

    def get(self, key: str, default: object) -> object:
        """Return the value under this key, of any type, or the default if the key is missing."""
        return self._values.get(key, default)

    def require(self, key: str) -> object:
        """Return the value under this key, of any type. Raises MissingKeyError."""
        try:
            return self._values[key]
        except KeyError:
            raise MissingKeyError(key) from None

    def section(self, key: str) -> "Section":
        """Return the object under this key. Raises MissingKeyError."""
        return Section(self.require(key), f"{self._prefix}{key}.")

    def optional_section(self, key: str) -> "Section":
        """Return the object under this key, or an empty one if the key is missing."""
        return Section(self.get(key, {}), f"{self._prefix}{key}.")

    def sections(self, key: str) -> list["Section"]:
        """Return the objects of the list under this key. Raises MissingKeyError."""
        values = checked_list(self.require(key), f"{self._prefix}{key}")
        return [Section(value, f"{self._prefix}{key}[{index}].") for index, value in enumerate(values)]

    def optional_sections(self, key: str) -> list["Section"]:
        """Return the objects of the list under this key, or no objects if the key is missing."""
        return self.sections(key) if key in self._values else []

    def text(self, key: str) -> str:
        """Return the string under this key. Raises MissingKeyError."""
        value = self.require(key)
        if not isinstance(value, str):
            raise WrongTypeError(f"{self._prefix}{key}", "a string", value)
        return value

    def name(self, key: str) -> str:
        """Return the value under this key as text. A number, a boolean and null are converted.

        Raises MissingKeyError.
        """
        return checked_name(self.require(key), f"{self._prefix}{key}")

    def names(self, key: str) -> list[str]:
        """Return the elements of the list under this key as text, or no elements if the key is missing."""
        location = f"{self._prefix}{key}"
        return [checked_name(value, location) for value in checked_list(self.get(key, []), location)]

    def flag(self, key: str) -> bool:
        """Return the value under this key as a boolean, by Python's rules; False if the key is missing."""
        return bool(self.get(key, False))

    def number(self, key: str, minimum: float, default: float | None = None) -> float:
        """Return the finite number under this key, which must be `minimum` or more.

        Raises MissingKeyError if the key is missing and there is no default.
        """
        value = self.require(key) if default is None else self.get(key, default)
        return checked_number(value, f"{self._prefix}{key}", minimum)

    def integer(self, key: str, minimum: float, default: int | None = None) -> int:
        """Return the number under this key, truncated to an integer. The checks are those of `number`."""
        return int(self.number(key, minimum, default))


def checked_number(value: object, location: str, minimum: float) -> float:
    """Return the value if it is a finite number of `minimum` or more. Raises SettingsError."""
    if not _is_finite_number(value) or value < minimum:
        raise SettingsError(f"settings: {location} must be a number of {minimum:g} or more, not {value!r}")
    return value


def _is_finite_number(value: object) -> TypeGuard[float]:
    # Python's JSON parser reads NaN and Infinity as numbers, and its booleans are integers.
    return isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)


def checked_name(value: object, location: str) -> str:
    """Return the value as text, unless it is a list or an object. Raises WrongTypeError."""
    if isinstance(value, list | dict):
        raise WrongTypeError(location, "a string", value)
    return str(value)


def checked_list(value: object, location: str) -> list[object]:
    """Return the elements of a list. Raises WrongTypeError.

    An object counts as the list of its keys, and a string as the list of its characters.
    """
    if not isinstance(value, list | dict | str):
        raise WrongTypeError(location, "a list", value)
    return list(value)
