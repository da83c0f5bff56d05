"""Reads description files below one directory, and no file outside it."""

import os
from pathlib import Path
from urllib.parse import unquote, urlsplit

from wheatstile.descriptions.model import JsonValue
from wheatstile.descriptions.parsed_file import MAX_FILE_BYTES, ParsedFile
from wheatstile.descriptions.parser import parse
from wheatstile.descriptions.references import DocumentNode, DocumentStore
from wheatstile.resolvers.regular_file import regular_file_descriptor, snapshot

MAX_FILES = 1000  # limit for descriptions and referenced files together


class DocumentDirectory:
    """The documents below one directory. Each file is read only once.

    `read_files` contains the paths of all files that have been read. All directories of one call of
    `reader.read_descriptions` share it.
    """

    def __init__(self, root: Path, read_files: set[str]) -> None:
        self.root = Path(os.path.realpath(root))
        self._read_files = read_files
        self._store = DocumentStore(self._retrieve)

    def document(self, path: Path) -> DocumentNode:
        """Return the document in this file. Raises ValueError or InvalidDescriptionError."""
        real_path = Path(os.path.realpath(path))
        if not real_path.is_relative_to(self.root):
            raise ValueError(f"{path} is a link to a file outside the directory {self.root}")
        return self._store.root(real_path.as_uri())

    def value_at(self, uri: str) -> JsonValue:
        """Return the value of the file at this URI. Raises ValueError or InvalidDescriptionError."""
        return self._store.file_at(uri).value

    def _retrieve(self, uri: str) -> ParsedFile:
        path = Path(os.path.realpath(unquote(urlsplit(uri).path)))
        if not path.is_relative_to(self.root):
            raise ValueError(f"is outside the directory {self.root}")
        return self._read(path)

    def _read(self, path: Path) -> ParsedFile:
        name = _display_name(path)
        if len(self._read_files) >= MAX_FILES:
            raise ValueError(f"more than {MAX_FILES} files")
        try:
            with regular_file_descriptor(path) as descriptor:
                data = snapshot(descriptor, MAX_FILE_BYTES).data
        except OSError as error:
            raise ValueError(f"{name}: {error.strerror or error}") from None
        self._read_files.add(str(path))
        return parse(name, data)


def _display_name(path: Path) -> str:
    """Return the file name for findings: a relative path if the file is below the current directory."""
    relative = os.path.relpath(path)
    return str(path) if relative.startswith("..") else relative
