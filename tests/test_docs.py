"""Every name and path that a documentation page gives in backticks exists in the repository."""

import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
SOURCES = (
    "wheatstile",
    "tests",
    "benchmarks",
    "example",
    "deploy",
    "Makefile",
    "pyproject.toml",
    "KNOWN-RED.txt",
)
SUFFIXES = {".py", ".toml", ".json", ".txt", ".yaml", ""}
BACKTICKS = re.compile(r"`([^`\n]+)`")
LIBRARY_NAMES = {"timestamp"}  # a field that structlog adds
CODE_BLOCK = re.compile(r"^```.*?^```", re.DOTALL | re.MULTILINE)
PATH = re.compile(r"[\w.-]+(/[\w.-]+)+/?")
NAME = re.compile(r"[A-Za-z_]\w*(\.[A-Za-z_]\w*)*")
# Sections on the history of the project may contain former names.
HISTORY_SECTION = re.compile(r"^## [^\n]*before 2 December 2026.*?(?=^## |\Z)", re.DOTALL | re.MULTILINE)


@cache
def identifiers() -> frozenset[str]:
    """Return all identifiers in the repository's sources, and the names of its files and directories."""
    found: set[str] = set()
    for source in SOURCES:
        path = ROOT / source
        for file in path.rglob("*") if path.is_dir() else [path]:
            if file.is_file() and file.suffix in SUFFIXES:
                found.add(file.stem)
                found.add(file.name)
                found.add(file.parent.name)
                found.update(re.findall(r"\w+", file.read_text(errors="ignore")))
    return frozenset(found)


def is_known_identifier(identifier: str) -> bool:
    """Return whether the sources have the identifier, or a prefix that the program extends (`attempts_`)."""
    prefixes = [identifier[: index + 1] for index, letter in enumerate(identifier) if letter == "_"]
    return identifier in identifiers() or any(
        prefix in identifiers() for prefix in prefixes if len(prefix) > 1
    )


def unknown_names(text: str) -> list[str]:
    """Return the names and paths in backticks that do not exist in the repository."""
    unknown = []
    for name in BACKTICKS.findall(CODE_BLOCK.sub("", HISTORY_SECTION.sub("", text))):
        if PATH.fullmatch(name) and (ROOT / name.split("/")[0]).exists():
            is_known = (ROOT / name).exists()
        elif NAME.fullmatch(name) and name not in LIBRARY_NAMES:
            is_known = all(map(is_known_identifier, name.split(".")))
        else:
            continue
        if not is_known:
            unknown.append(name)
    return unknown


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_names_in_backticks_exist(page: Path) -> None:
    assert unknown_names(page.read_text()) == []


def test_name_that_does_not_exist_is_reported() -> None:
    assert unknown_names("`DecisionLoop` and " + "`Decision" + "Loup`") == ["Decision" + "Loup"]
