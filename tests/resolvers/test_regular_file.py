"""Tests for snapshots of regular files."""

from pathlib import Path

import pytest

from wheatstile.config.violations import ConfigurationError
from wheatstile.resolvers.regular_file import read_regular_file, regular_file_descriptor, snapshot


def test_file_is_read_up_to_one_byte_more_than_the_limit(tmp_path: Path) -> None:
    path = tmp_path / "f"
    path.write_bytes(b"12345")

    assert read_regular_file(path, 5) == b"12345"
    assert read_regular_file(path, 3) == b"1234"


def test_version_changes_with_the_content(tmp_path: Path) -> None:
    path = tmp_path / "f"
    path.write_bytes(b"old")
    with regular_file_descriptor(path) as descriptor:
        before = snapshot(descriptor, 10)
        assert snapshot(descriptor, 10).version == before.version

        path.write_bytes(b"newer")

        after = snapshot(descriptor, 10)
        assert after.version != before.version
        assert (after.data, after.torn) == (b"newer", False)


def test_directory_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(ConfigurationError, match="is a directory"):
        read_regular_file(tmp_path, 10)
