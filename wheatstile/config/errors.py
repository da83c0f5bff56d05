"""Exceptions of the package. `platform` and `violations` define further ones with the same base class."""


class InvalidConfigurationError(ValueError):
    """Base class of the package's errors. A rejected configuration is not applied, not even in part."""


class SettingsError(InvalidConfigurationError):
    """The settings were rejected. The message names the invalid key."""


class MissingKeyError(SettingsError):
    """A required key is missing."""

    def __init__(self, key: str) -> None:
        super().__init__(f"settings: the key {key} is missing")
        self.key = key


class WrongTypeError(SettingsError):
    """A value has the wrong type."""

    def __init__(self, location: str, expected: str, value: object) -> None:
        super().__init__(f"settings: value of the wrong type: {location} must be {expected}, not {value!r}")
        self.location = location
