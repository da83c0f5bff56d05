"""The errors of the package; `ConfigError` and `ConfigurationError` stand beside what raises them."""


class InvalidConfigurationError(ValueError):
    """The base of all: a configuration nobody could balance by. Nothing of it is in force."""


class SettingsError(InvalidConfigurationError):
    """Settings that cannot be used; the text says which key is at fault."""


class MissingKeyError(SettingsError):
    """A key that nothing can stand in for is missing."""

    def __init__(self, key: str) -> None:
        super().__init__(f"settings: lacks the key {key}")
        self.key = key


class WrongTypeError(SettingsError):
    """A value is of a type that it cannot have."""

    def __init__(self, location: str, expected: str, value: object) -> None:
        super().__init__(
            f"settings: has a value of a wrong type: {location} must be {expected}, not {value!r}"
        )
        self.location = location
