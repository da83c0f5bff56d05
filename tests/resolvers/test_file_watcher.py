"""The folders and names that are watched for a path."""

from pathlib import Path

from wheatstile.resolvers.file_watcher import watched_paths


def test_folders_and_names_along_a_symbolic_link_are_watched(tmp_path: Path) -> None:
    (tmp_path / "one").mkdir()
    (tmp_path / "one" / "s.json").touch()
    (tmp_path / "current").symlink_to("one")

    watched = watched_paths(tmp_path / "current" / "s.json")
    assert {str(tmp_path), str(tmp_path / "one")} <= watched.folders
    assert {"current", "s.json"} <= watched.names


def test_search_ends_at_a_symbolic_link_to_itself(tmp_path: Path) -> None:
    (tmp_path / "loop").symlink_to("loop")
    watched = watched_paths(tmp_path / "loop")
    assert watched.names == {"loop"}
