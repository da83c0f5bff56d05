"""Tests for the directories and names that are watched for a path."""

from pathlib import Path

from wheatstile.resolvers.file_watcher import watched_paths


def test_directories_and_names_along_a_symbolic_link_are_watched(tmp_path: Path) -> None:
    (tmp_path / "one").mkdir()
    (tmp_path / "one" / "s.json").touch()
    (tmp_path / "current").symlink_to("one")

    watched = watched_paths(tmp_path / "current" / "s.json")
    assert {str(tmp_path), str(tmp_path / "one")} <= watched.directories
    assert {"current", "s.json"} <= watched.names


def test_symbolic_link_to_itself_is_watched_by_its_own_name(tmp_path: Path) -> None:
    (tmp_path / "loop").symlink_to("loop")
    watched = watched_paths(tmp_path / "loop")
    assert watched.names == {"loop"}
