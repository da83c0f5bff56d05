"""Reads the approval file, in which an operator names the digest of an accepted endpoint file.

`wheatstile servers accept` writes it.
"""

from pathlib import Path

from wheatstile.config.violations import ConfigurationError, load
from wheatstile.resolvers.regular_file import read_all

MAX_BYTES = 4096  # size of an approval file


def approval_path(endpoint_file_path: Path) -> Path:
    """Return the path of the approval file, which is in the folder of the endpoint file."""
    return endpoint_file_path.with_name(f"{endpoint_file_path.name}.accept")


def read_accepted_digests(endpoint_file_path: Path) -> frozenset[str]:
    """Return the digests that an operator has accepted: none if the approval file is missing or unusable.

    May block: call it in a thread.
    """
    path = approval_path(endpoint_file_path)
    if not path.exists():
        return frozenset()
    try:
        _, value = load(str(path), read_all(path, MAX_BYTES), MAX_BYTES)
    except ConfigurationError:
        return frozenset()
    digest = value.get("digest") if isinstance(value, dict) else None
    return frozenset([digest]) if isinstance(digest, str) else frozenset()
