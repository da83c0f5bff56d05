"""KNOWN-RED.txt: listed tests may fail, and any other failure fails the run."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from support.known_red import KnownRedError, parse

TESTS = Path(__file__).parent
ENTRY = """
test_sample.py::test_red
    command: pytest test_sample.py
    seen: it fails
    issue: 19
"""
SAMPLE = """
import pytest

def test_green():
    pass

@pytest.mark.parametrize("number", [1, 2])
def test_red(number):
    assert number == 2
"""


def run_sample(directory: Path, known_red: str, **environment: str) -> tuple[int, str]:
    """Run the tests of SAMPLE with this KNOWN-RED.txt. Return the exit status and the output."""
    (directory / "test_sample.py").write_text(SAMPLE)
    (directory / "KNOWN-RED.txt").write_text(known_red)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "support.known_red", "--rootdir", "."],
        cwd=directory,
        env={**os.environ, "PYTHONPATH": str(TESTS), **environment},
        capture_output=True,
        text=True,
        check=False,
    )
    return run.returncode, run.stdout + run.stderr


def test_failure_of_a_listed_test_is_printed_and_passes_the_run(tmp_path: Path) -> None:
    status, output = run_sample(tmp_path, ENTRY)
    assert status == 0
    assert "known red: test_sample.py::test_red (issue 19): it fails" in output
    assert "1 xfailed" in output


def test_failure_of_an_unlisted_test_fails_the_run(tmp_path: Path) -> None:
    status, output = run_sample(tmp_path, "")
    assert status == 1
    assert "1 failed" in output


def test_entry_applies_only_in_its_environment(tmp_path: Path) -> None:
    entry = ENTRY + "    environment: SEEDS=7\n"
    assert run_sample(tmp_path, entry, SEEDS="7")[0] == 0
    assert run_sample(tmp_path, entry, SEEDS="8")[0] == 1


@pytest.mark.parametrize("name", ["test_sample.py::test_gone", "test_gone.py::test_red"])
def test_entry_that_matches_no_test_is_a_usage_error(tmp_path: Path, name: str) -> None:
    status, output = run_sample(tmp_path, ENTRY + ENTRY.replace("test_sample.py::test_red", name))
    assert status == pytest.ExitCode.USAGE_ERROR
    assert name in output


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        (
            "a.py::test_a\n    command: c\n    seen: s\n",
            'KNOWN-RED.txt:1: entry "a.py::test_a" has no "issue"',
        ),
        ("a.py::test_a\n    cause: c\n", 'KNOWN-RED.txt:2: "cause: c" is not a field of an entry'),
        ("    issue: 1\n", 'KNOWN-RED.txt:1: field "issue" precedes the first entry'),
    ],
)
def test_malformed_entry_is_rejected_with_its_line_number(text: str, reason: str) -> None:
    with pytest.raises(KnownRedError) as caught:
        parse(text)
    assert str(caught.value) == reason


def test_recorded_case_needs_no_test() -> None:
    [entry] = parse(ENTRY.replace("test_sample.py::test_red", "case: a server in slow start is overloaded"))
    assert entry.is_case
