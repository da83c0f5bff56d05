"""A parsed file with the line of every value, and the limits on files. Pure."""

from dataclasses import dataclass

from wheatstile.descriptions.findings import InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.model import JsonValue

MAX_FILE_BYTES = 16 << 20
MAX_NESTING_DEPTH = 200  # objects and lists inside one another
MAX_VALUES = 2_000_000  # values of one file, with aliases expanded


@dataclass(frozen=True, slots=True)
class ParsedFile:
    """The value of a file, and the line of each part of it."""

    name: str
    value: JsonValue
    lines: dict[str, int]  # key: JSON pointer

    def locate(self, pointer: str) -> SourceLocation:
        """Return the location of a JSON pointer; with the line of its nearest parent if it names no value."""
        known = pointer
        while known and known not in self.lines:
            known = known.rpartition("/")[0]
        return SourceLocation(self.name, self.lines.get(known, 1), pointer)


def parse_error(file: str, line: int, reason: str, pointer: str = "") -> InvalidDescriptionError:
    """Return the error for a file that cannot be parsed."""
    return InvalidDescriptionError.at(SourceLocation(file, line, pointer), reason)
