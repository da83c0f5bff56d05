"""References within and across local files. Pure: whoever reads files is handed in."""

from collections.abc import Callable
from typing import Any
from urllib.parse import unquote, urldefrag, urljoin, urlsplit

from referencing import Registry, Resource
from referencing.exceptions import Unresolvable
from referencing.typing import URI

from wheatstile.descriptions.model import DescriptionError, Finding, Place
from wheatstile.descriptions.text import Text

PLAIN_DATA = ("example", "default", "enum", "const")  # members in which a $ref is no reference
MOST_HOPS = 50  # references that lead to references


class Located:
    """A value, the file that it stands in and its pointer there."""

    __slots__ = ("library", "pointer", "text", "uri", "value")

    def __init__(self, library: "Library", uri: URI, text: Text, pointer: str, value: Any) -> None:
        self.library, self.uri, self.text, self.pointer, self.value = library, uri, text, pointer, value

    @property
    def place(self) -> Place:
        return self.text.place(self.pointer)

    def get(self, key: str) -> "Located | None":
        """The member of this name, references followed; None if there is none."""
        if not isinstance(self.value, dict) or key not in self.value:
            return None
        return self._child(key, self.value[key]).followed()

    def raw(self, key: str) -> "Located | None":
        """The member as it stands, references not followed."""
        if not isinstance(self.value, dict) or key not in self.value:
            return None
        return self._child(key, self.value[key])

    def items(self) -> "list[tuple[str, Located]]":
        """The members of an object or the elements of a list, references followed."""
        if isinstance(self.value, dict):
            pairs: list[tuple[Any, Any]] = list(self.value.items())
        elif isinstance(self.value, list):
            pairs = list(enumerate(self.value))
        else:
            return []
        return [(str(key), self._child(key, value).followed()) for key, value in pairs]

    def children(self) -> "list[tuple[str, Located]]":
        """The members of an object or the elements of a list as they stand, references not followed."""
        pairs = self.value.items() if isinstance(self.value, dict) else enumerate(self.value)
        return [(str(key), self._child(key, value)) for key, value in pairs]

    def _child(self, key: str | int, value: Any) -> "Located":
        part = str(key).replace("~", "~0").replace("/", "~1")
        return Located(self.library, self.uri, self.text, f"{self.pointer}/{part}", value)

    def followed(self) -> "Located":
        """What this is, or what its chain of references leads to. Raises DescriptionError."""
        here, hops = self, 0
        while isinstance(here.value, dict) and isinstance(here.value.get("$ref"), str):
            hops += 1
            if hops > MOST_HOPS:
                raise _error(
                    self.place, f'"{self.value["$ref"]}" leads from reference to reference without an end'
                )
            here = self.library.resolve(here, here.value["$ref"])
        return here

    def text_of(self, key: str, default: str = "") -> str:
        """The member's text, where it is one."""
        found = self.get(key)
        return found.value if found and isinstance(found.value, str) else default


class Library:
    """The files of one set of descriptions, by URI. What a schema says of its own identity is not followed.

    retrieve: gives the file at a URI, or raises ValueError (outside the folder, not there, unreadable).
    """

    def __init__(self, retrieve: Callable[[URI], Text]) -> None:
        self._retrieve = retrieve
        self.texts: dict[URI, Text] = {}
        self._registry: Registry[Any] = Registry(retrieve=self._resource)  # type: ignore[call-arg]

    def _resource(self, uri: URI) -> Resource[Any]:
        return Resource.opaque(self.at(uri).value)

    def at(self, uri: URI) -> Text:
        """The file at this URI, read once. Raises ValueError."""
        if uri not in self.texts:
            self.texts[uri] = self._retrieve(uri)
        return self.texts[uri]

    def root(self, uri: URI) -> Located:
        text = self.at(uri)
        return Located(self, uri, text, "", text.value)

    def resolve(self, here: Located, ref: str) -> Located:
        """Where a reference points. Raises DescriptionError at its place."""
        uri, fragment = urldefrag(urljoin(here.uri, ref))
        if urlsplit(uri).scheme != "file":
            raise _error(here.place, f'"{ref}" names a network address; references stay within the folder')
        pointer = unquote(fragment)
        if pointer and not pointer.startswith("/"):
            raise _error(here.place, f'"{ref}" names an anchor; references are JSON pointers here')
        try:
            text = self.at(uri)
            found = self._registry.resolver(base_uri=here.uri).lookup(ref).contents
        except Unresolvable:
            raise _error(here.place, f'"{ref}" points to nothing') from None
        except DescriptionError:
            raise
        except ValueError as error:
            raise _error(here.place, f'"{ref}": {error}') from None
        return Located(self, uri, text, pointer, found)


def reference_findings(root: Located) -> list[Finding]:
    """Every reference that cannot be followed, in this file and all that it leads to; and rings of them."""
    findings: list[Finding] = []
    seen: set[tuple[str, str]] = set()
    todo = [root]
    while todo:
        here = todo.pop()
        if (here.uri, here.pointer) in seen:
            continue
        seen.add((here.uri, here.pointer))
        if isinstance(here.value, dict) and isinstance(here.value.get("$ref"), str):
            try:
                todo.append(here.followed())
            except DescriptionError as error:
                findings += error.findings
        if isinstance(here.value, dict | list):
            todo += [child for key, child in here.children() if key not in PLAIN_DATA]
    return sorted(set(findings), key=lambda one: (one.place, one.reason))


def _error(place: Place, reason: str) -> DescriptionError:
    return DescriptionError([Finding(place, reason)])
