"""Tests for the approval file: accepted digests and unusable files."""

from pathlib import Path

import pytest

from wheatstile.resolvers.approval import approval_path, read_accepted_digests


def test_digest_in_the_approval_file_is_accepted(tmp_path: Path) -> None:
    endpoint_file_path = tmp_path / "servers.json"
    assert read_accepted_digests(endpoint_file_path) == frozenset()
    assert approval_path(endpoint_file_path) == tmp_path / "servers.json.accept"

    approval_path(endpoint_file_path).write_text('{"digest": "xxh3-128:1"}')

    assert read_accepted_digests(endpoint_file_path) == frozenset(["xxh3-128:1"])


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"digest": []}', '{"digest": 7}', " " * 5000])
def test_unusable_approval_file_accepts_nothing(tmp_path: Path, text: str) -> None:
    endpoint_file_path = tmp_path / "servers.json"
    approval_path(endpoint_file_path).write_text(text)

    assert read_accepted_digests(endpoint_file_path) == frozenset()
