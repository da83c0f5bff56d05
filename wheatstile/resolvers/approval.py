"""The approval file: where `servers accept` names the digest of an endpoint file that awaits approval."""

from pathlib import Path

from wheatstile.config.violations import ConfigurationError, load
from wheatstile.resolvers.regular_file import read_all

MAX_BYTES = 4096


def approval_path(endpoint_file_path: Path) -> Path:
    """Return the path of the approval file, beside the endpoint file that it approves."""
    return endpoint_file_path.with_name(f"{endpoint_file_path.name}.accept")


def read_accepted_digests(endpoint_file_path: Path) -> frozenset[str]:
    """Read the digests that an operator has accepted; none where the approval file is missing or unusable.

    May block: call it off the event loop.
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
