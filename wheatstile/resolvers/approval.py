"""Reads the approval file, which contains the digest of an endpoint file that an operator has accepted.

`wheatstile servers accept` writes the approval file.
"""

from pathlib import Path

from wheatstile.config.violations import ConfigurationError, load_json
from wheatstile.resolvers.regular_file import read_regular_file

MAX_APPROVAL_FILE_BYTES = 4096


def approval_path(endpoint_file_path: Path) -> Path:
    """Return the path of the approval file, which is in the same directory as the endpoint file."""
    return endpoint_file_path.with_name(f"{endpoint_file_path.name}.accept")


def read_accepted_digests(endpoint_file_path: Path) -> frozenset[str]:
    """Return the digests that an operator has accepted, or none if the approval file is missing or invalid.

    May block: call it in a thread.
    """
    path = approval_path(endpoint_file_path)
    if not path.exists():
        return frozenset()
    try:
        _, value = load_json(
            str(path), read_regular_file(path, MAX_APPROVAL_FILE_BYTES), MAX_APPROVAL_FILE_BYTES
        )
    except ConfigurationError:
        return frozenset()
    digest = value.get("digest") if isinstance(value, dict) else None
    return frozenset([digest]) if isinstance(digest, str) else frozenset()
