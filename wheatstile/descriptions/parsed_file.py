"""A parsed file with the line of each value, and the limits for files. Performs no I/O."""

from dataclasses import dataclass

from wheatstile.descriptions.findings import InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.model import JsonValue

MAX_FILE_BYTES = 16 << 20
MAX_NESTING_DEPTH = 200  # levels of objects and lists
MAX_VALUES = 2_000_000  # limit for one file, with aliases expanded


@dataclass(frozen=True, slots=True)
class ParsedFile:
    """The value of a file, and the line of each value in it."""

    name: str
    value: JsonValue
    lines: dict[str, int]  # key: JSON pointer

    def locate(self, pointer: str) -> SourceLocation:
        """Return the location of a JSON pointer.

        If there is no value at the pointer, use the line of the nearest existing parent.
        """
        known = pointer
        while known and known not in self.lines:
            known = known.rpartition("/")[0]
        return SourceLocation(self.name, self.lines.get(known, 1), pointer)


def parse_error(file: str, line: int, reason: str, pointer: str = "") -> InvalidDescriptionError:
    """Return an error with one finding, for a file that cannot be parsed."""
    return InvalidDescriptionError.at(SourceLocation(file, line, pointer), reason)
