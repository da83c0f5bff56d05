"""Nodes of documents, and references (`$ref`) between them.

Performs no I/O: the caller passes the function that reads files.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from urllib.parse import unquote, urldefrag, urljoin, urlsplit

from referencing import Registry, Resource
from referencing.exceptions import Unresolvable
from referencing.typing import URI

from wheatstile.config.violations import json_pointer
from wheatstile.descriptions.findings import (
    Finding,
    InvalidDescriptionError,
    SourceLocation,
    sorted_by_location,
)
from wheatstile.descriptions.model import JsonValue
from wheatstile.descriptions.parsed_file import ParsedFile

REFERENCE_KEY = "$ref"
LITERAL_MEMBERS = ("example", "default", "enum", "const")  # plain data, in which $ref is not a reference
MAX_REFERENCE_CHAIN = 50  # number of references from a node to its value
FILE_SCHEME = "file"


@dataclass(slots=True, eq=False)
class DocumentNode:
    """A value of a document, with its file and its JSON pointer in that file."""

    store: "DocumentStore"
    uri: URI
    file: ParsedFile
    pointer: str
    value: JsonValue

    @property
    def location(self) -> SourceLocation:
        """The source location of the node."""
        return self.file.locate(self.pointer)

    @property
    def name(self) -> str:
        """The key or index of the node in its parent, without JSON pointer escapes."""
        return self.pointer.rpartition("/")[2].replace("~1", "/").replace("~0", "~")

    @property
    def reference(self) -> str | None:
        """The target of a reference; None if the node is not a reference."""
        target = self.value.get(REFERENCE_KEY) if isinstance(self.value, dict) else None
        return target if isinstance(target, str) else None

    def get(self, key: str) -> "DocumentNode | None":
        """Return the member with this name, with references resolved; None if there is none."""
        member = self.get_unresolved(key)
        return member.resolved() if member else None

    def get_unresolved(self, key: str) -> "DocumentNode | None":
        """Return the member with this name, without resolving references; None if there is none."""
        if not isinstance(self.value, dict) or key not in self.value:
            return None
        return self._child(key, self.value[key])

    def get_text(self, key: str) -> str:
        """Return the member with this name if it is a string, else an empty string."""
        member = self.get(key)
        return member.value if member and isinstance(member.value, str) else ""

    def items(self) -> "list[tuple[str, DocumentNode]]":
        """Return the members of an object or the elements of a list, with references resolved."""
        return [(key, child.resolved()) for key, child in self.unresolved_items()]

    def unresolved_items(self) -> "list[tuple[str, DocumentNode]]":
        """Return the members of an object or the elements of a list, without resolving references."""
        pairs: Iterable[tuple[str | int, JsonValue]] = ()
        if isinstance(self.value, dict):
            pairs = self.value.items()
        elif isinstance(self.value, list):
            pairs = enumerate(self.value)
        return [(str(key), self._child(key, value)) for key, value in pairs]

    def _child(self, key: str | int, value: JsonValue) -> "DocumentNode":
        return DocumentNode(self.store, self.uri, self.file, self.pointer + json_pointer(key), value)

    def resolved(self) -> "DocumentNode":
        """Return the node, or the node that its chain of references leads to.

        Raises InvalidDescriptionError.
        """
        node = self
        length = 0
        while (reference := node.reference) is not None:
            length += 1
            if length > MAX_REFERENCE_CHAIN:
                reason = (
                    f'"{self.reference}" leads to a reference cycle or to a reference chain that is too long'
                )
                raise InvalidDescriptionError.at(self.location, reason)
            node = self.store.resolve(node, reference)
        return node


class DocumentStore:
    """Loads files by URI and resolves the references in them. Ignores the identifiers (`$id`) of schemas.

    The function `retrieve` reads and parses the file at a URI. It raises ValueError for a file that cannot be
    read or that is outside the directory.
    """

    def __init__(self, retrieve: Callable[[URI], ParsedFile]) -> None:
        self._retrieve = retrieve
        self._files: dict[URI, ParsedFile] = {}
        self._registry: Registry[JsonValue] = Registry(retrieve=self._resource)  # type: ignore[call-arg]

    def _resource(self, uri: URI) -> Resource[JsonValue]:
        return Resource.opaque(self.file_at(uri).value)

    def file_at(self, uri: URI) -> ParsedFile:
        """Return the file at this URI. It is read only once. Raises ValueError."""
        if uri not in self._files:
            self._files[uri] = self._retrieve(uri)
        return self._files[uri]

    def root(self, uri: URI) -> DocumentNode:
        """Return the root node of the document at this URI. Raises ValueError."""
        file = self.file_at(uri)
        return DocumentNode(self, uri, file, "", file.value)

    def resolve(self, node: DocumentNode, reference: str) -> DocumentNode:
        """Return the node that a reference points to.

        Raises InvalidDescriptionError at the location of the referring node.
        """
        uri, pointer = _split_reference(node, reference)
        try:
            file = self.file_at(uri)
            value = self._registry.resolver(base_uri=node.uri).lookup(reference).contents
        except Unresolvable:
            raise InvalidDescriptionError.at(
                node.location, f'the target of "{reference}" does not exist'
            ) from None
        except InvalidDescriptionError:
            raise
        except ValueError as error:
            raise InvalidDescriptionError.at(node.location, f'"{reference}": {error}') from None
        return DocumentNode(self, uri, file, pointer, value)


def _split_reference(node: DocumentNode, reference: str) -> tuple[URI, str]:
    """Return the URI of the file and the JSON pointer of a reference.

    Raises InvalidDescriptionError for a reference to a network address or to an anchor.
    """
    uri, fragment = urldefrag(urljoin(node.uri, reference))
    if urlsplit(uri).scheme != FILE_SCHEME:
        reason = f'"{reference}" is a network address; references must stay within the directory'
        raise InvalidDescriptionError.at(node.location, reason)
    pointer = unquote(fragment)
    if pointer and not pointer.startswith("/"):
        reason = f'"{reference}" refers to an anchor; only JSON pointers are supported'
        raise InvalidDescriptionError.at(node.location, reason)
    return uri, pointer


def reference_findings(root: DocumentNode) -> list[Finding]:
    """Return a finding for each unresolvable reference in this document and in all documents it refers to."""
    findings: list[Finding] = []
    visited: set[tuple[URI, str]] = set()
    pending = [root]
    while pending:
        node = pending.pop()
        if (node.uri, node.pointer) in visited:
            continue
        visited.add((node.uri, node.pointer))
        if node.reference is not None:
            try:
                pending.append(node.resolved())
            except InvalidDescriptionError as error:
                findings += error.findings
        pending += [child for key, child in node.unresolved_items() if key not in LITERAL_MEMBERS]
    return sorted_by_location(findings)
