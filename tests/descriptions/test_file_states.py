"""States of files, which are compared to detect changes."""

import os
from pathlib import Path

import pytest

from wheatstile.descriptions import file_states as file_states_module
from wheatstile.descriptions.file_states import file_states


def names(states: list[file_states_module.FileState]) -> list[str]:
    """Return the names of the files, in the order of their paths."""
    return [Path(state.path).name for state in states]


@pytest.fixture
def directory(tmp_path: Path) -> Path:
    """Return a directory with a file in it and one in a subdirectory."""
    (tmp_path / "parts").mkdir()
    (tmp_path / "a.yaml").write_text("a")
    (tmp_path / "parts" / "b.yaml").write_text("b")
    return tmp_path


def test_directory_and_all_files_below_it_are_covered(directory: Path) -> None:
    assert names(file_states([directory])) == [directory.name, "a.yaml", "b.yaml"]


def test_file_and_referenced_files_are_covered_and_missing_ones_omitted(directory: Path) -> None:
    referenced = [str(directory / "parts" / "b.yaml"), str(directory / "missing.yaml")]
    assert names(file_states([directory / "a.yaml"], referenced)) == ["a.yaml", "b.yaml"]


def test_replaced_file_of_the_same_size_and_time_has_a_different_state(directory: Path) -> None:
    path = directory / "a.yaml"
    before = file_states([path])
    status = path.stat()
    replacement = directory / "replacement"
    replacement.write_text("z")
    os.utime(replacement, ns=(status.st_atime_ns, status.st_mtime_ns))
    replacement.replace(path)
    after = file_states([path])
    assert after[0].modified_ns == before[0].modified_ns
    assert after != before


def test_number_of_files_is_bounded(directory: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(file_states_module, "MAX_CHECKED_FILES", 2)
    assert len(file_states([directory])) == file_states_module.MAX_CHECKED_FILES
