"""A pytest plugin that reads KNOWN-RED.txt, which lists the tests that are allowed to fail.

An entry begins with a test's id, or with `case:` for a recorded case without a test. Its fields are indented:

    tests/store/test_raft_node.py::test_name
        command: the command and seed that show the failure
        environment: NAME=VALUE (optional: the entry applies only if this variable has this value)
        seen: what was observed
        issue: number of the open issue

A listed test that fails is reported as an expected failure and printed at the end. An entry whose test
does not exist is an error, and so is an entry with a missing field. Lines that start with `#` are comments.
"""

import os
from collections.abc import Generator, Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
CASE_PREFIX = "case:"
REQUIRED_FIELDS = ("command", "seen", "issue")
OPTIONAL_FIELDS = ("environment",)


class KnownRedError(ValueError):
    """An entry of KNOWN-RED.txt cannot be used. The message names its line."""


@dataclass(frozen=True)
class KnownRed:
    """One entry of KNOWN-RED.txt."""

    name: str
    line: int
    fields: dict[str, str]

    @property
    def is_case(self) -> bool:
        """True if the entry records a case without a test."""
        return self.name.startswith(CASE_PREFIX)

    def matches(self, node_id: str) -> bool:
        """Return whether this entry names the test with this id, with or without its parameters."""
        return node_id == self.name or node_id.startswith(f"{self.name}[")

    def applies(self, environment: dict[str, str]) -> bool:
        """Return whether the entry applies in this environment."""
        condition = self.fields.get("environment")
        if condition is None:
            return True
        name, _, value = condition.partition("=")
        return environment.get(name) == value

    def summary(self) -> str:
        """Return the line that is printed for a listed test that failed."""
        return f"known red: {self.name} (issue {self.fields['issue']}): {self.fields['seen']}"


ENTRIES = pytest.StashKey[list[KnownRed]]()
FAILED = pytest.StashKey[list[KnownRed]]()


def parse(text: str) -> list[KnownRed]:
    """Return the entries of KNOWN-RED.txt. Raises KnownRedError."""
    entries: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        if not line.startswith(" "):
            entries.append(KnownRed(line.strip(), number, {}))
            continue
        key, separator, value = line.strip().partition(":")
        if not separator or key not in REQUIRED_FIELDS + OPTIONAL_FIELDS:
            raise KnownRedError(f'{FILE_NAME}:{number}: "{line.strip()}" is not a field of an entry')
        if not entries:
            raise KnownRedError(f'{FILE_NAME}:{number}: field "{key}" precedes the first entry')
        entries[-1].fields[key] = value.strip()
    for entry in entries:
        _check_fields(entry)
    return entries


def _check_fields(entry: KnownRed) -> None:
    missing = [key for key in REQUIRED_FIELDS if not entry.fields.get(key)]
    if missing:
        raise KnownRedError(f'{FILE_NAME}:{entry.line}: entry "{entry.name}" has no "{missing[0]}"')


def unknown_entries(entries: Iterable[KnownRed], node_ids: list[str], root: Path) -> list[KnownRed]:
    """Return the entries whose test does not exist.

    An entry whose file exists but was not collected is not checked.
    """
    collected_files = {node_id.partition("::")[0] for node_id in node_ids}
    unknown = []
    for entry in entries:
        file = entry.name.partition("::")[0]
        if entry.is_case or (file not in collected_files and (root / file).is_file()):
            continue
        if not any(entry.matches(node_id) for node_id in node_ids):
            unknown.append(entry)
    return unknown


def pytest_configure(config: pytest.Config) -> None:
    """Read KNOWN-RED.txt."""
    path = config.rootpath / FILE_NAME
    try:
        config.stash[ENTRIES] = parse(path.read_text()) if path.is_file() else []
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from error
    config.stash[FAILED] = []


def pytest_collection_finish(session: pytest.Session) -> None:
    """Stop the run if the test of an entry does not exist.

    If tests were selected by their ids or by a keyword, the entries are not checked.
    """
    config = session.config
    if any("::" in argument for argument in config.args) or config.getoption("keyword"):
        return
    node_ids = [item.nodeid for item in session.items]
    entries = config.stash[ENTRIES]
    unknown = unknown_entries(entries, node_ids, config.rootpath)
    if unknown:
        names = ", ".join(f'"{entry.name}" (line {entry.line})' for entry in unknown)
        raise pytest.UsageError(f"{FILE_NAME}: no test is named {names}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Report the failure of a listed test as an expected failure."""
    report = yield
    if report.when != "call" or not report.failed:
        return report
    for entry in item.config.stash[ENTRIES]:
        if entry.matches(item.nodeid) and entry.applies(dict(os.environ)):
            report.outcome = "skipped"
            report.wasxfail = entry.summary()
            item.config.stash[FAILED].append(entry)
            break
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the listed tests that failed."""
    for entry in config.stash[FAILED]:
        terminalreporter.write_line(entry.summary())
