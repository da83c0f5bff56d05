"""The folders and names in which a change may lead a watched path elsewhere."""

from pathlib import Path

from wheatstile.resolvers.file_watcher import watched_paths


def test_folders_and_names_along_a_symbolic_link_are_watched(tmp_path: Path) -> None:
    (tmp_path / "one").mkdir()
    (tmp_path / "one" / "s.json").touch()
    (tmp_path / "current").symlink_to("one")
    watched = watched_paths(tmp_path / "current" / "s.json")
    assert {str(tmp_path), str(tmp_path / "one")} <= watched.folders
    assert {"current", "s.json"} <= watched.names


def test_ring_of_links_ends(tmp_path: Path) -> None:
    (tmp_path / "ring").symlink_to("ring")
    watched = watched_paths(tmp_path / "ring")
    assert watched.names == {"ring"}
