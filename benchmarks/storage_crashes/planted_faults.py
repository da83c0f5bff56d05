"""Faults of the storage that the random histories have to find."""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from wheatstile.store import record_file, storage
from wheatstile.store.directory_contents import DirectoryContents
from wheatstile.store.storage import Storage


def do_nothing(*_arguments: object, **_options: object) -> None:
    """Take the place of a step that is left out."""


def replace_without_sync(path: Any, values: Any, _fsync: object) -> None:
    """Replace a file without syncing it or its directory."""
    original_replace_file(path, values, do_nothing)


def open_without_sync(opened: Storage) -> int:
    """Open the log without syncing what an earlier process has appended."""
    return os.open(opened.directory / "log", os.O_WRONLY | os.O_APPEND)


original_replace_file = record_file.replace_file

PLANTED_FAULTS: dict[str, tuple[object, str, Any]] = {
    "outdated-log-continued": (DirectoryContents, "is_log_outdated", False),
    "appended-records-not-synced": (Storage, "_open_synced_log", open_without_sync),
    "directory-not-synced": (storage, "sync_directory", do_nothing),
    "ancestors-not-synced": (storage, "sync_ancestors", do_nothing),
    "replaced-files-not-synced": (storage, "replace_file", replace_without_sync),
}
"""The attribute that each fault replaces, by the name of the fault."""


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Plant a fault for the time of the `with` block."""
    owner, attribute, replacement = PLANTED_FAULTS[name]
    with mock.patch.object(owner, attribute, replacement):
        yield
