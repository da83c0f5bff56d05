"""A parsed file with the line of every value, and the limits on what is parsed. Pure."""

from dataclasses import dataclass

from wheatstile.descriptions.findings import InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.model import JsonValue

MAX_FILE_BYTES = 16 << 20
MAX_NESTING_DEPTH = 200  # objects and lists within each other
MAX_VALUES = 2_000_000  # in one file; an alias counts as all that it stands for, each time it is used


@dataclass(frozen=True, slots=True)
class ParsedFile:
    """The value of a file, and the line of each part of it by JSON pointer."""

    name: str
    value: JsonValue
    lines: dict[str, int]

    def locate(self, pointer: str) -> SourceLocation:
        """Return the location of a pointer; if nothing is there, with the line of its nearest parent."""
        known = pointer
        while known and known not in self.lines:
            known = known.rpartition("/")[0]
        return SourceLocation(self.name, self.lines.get(known, 1), pointer)


def parse_error(file: str, line: int, reason: str, pointer: str = "") -> InvalidDescriptionError:
    """Return the error for a file that cannot be parsed."""
    return InvalidDescriptionError.at(SourceLocation(file, line, pointer), reason)
