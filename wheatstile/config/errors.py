"""The errors of the package, except `ConfigError` in `platform` and `ConfigurationError` in `violations`."""


class InvalidConfigurationError(ValueError):
    """Base of the package's errors: a configuration was rejected, and nothing of it is applied."""


class SettingsError(InvalidConfigurationError):
    """The settings were rejected. The message names the invalid key."""


class MissingKeyError(SettingsError):
    """A required key is missing."""

    def __init__(self, key: str) -> None:
        super().__init__(f"settings: lacks the key {key}")
        self.key = key


class WrongTypeError(SettingsError):
    """A value has the wrong type."""

    def __init__(self, location: str, expected: str, value: object) -> None:
        super().__init__(
            f"settings: has a value of a wrong type: {location} must be {expected}, not {value!r}"
        )
        self.location = location
