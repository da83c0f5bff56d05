"""Runs a command of the program, and returns its exit status, standard output and standard error."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[2]
EXAMPLE_CONFIG = ROOT / "example" / "config.json"
TIMEOUT_S = 60.0
"""The timeout for one command. A correct program never reaches it."""
PROGRAM_VARIABLE_PREFIXES = ("RELAY_", "WHEATSTILE_")
"""Prefixes of the environment variables that the program reads. A command does not inherit them."""


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The exit status of a command, its standard output and its standard error."""

    status: int
    output: str
    errors: str


def run_command(*arguments: str, **variables: str) -> CommandResult:
    """Run `wheatstile` with these arguments and environment variables, and wait until it ends.

    Checks that the command printed no traceback.
    """
    inherited = {
        key: value for key, value in os.environ.items() if not key.startswith(PROGRAM_VARIABLE_PREFIXES)
    }
    completed = subprocess.run(
        [sys.executable, "-m", "wheatstile", *arguments],
        env=inherited | {"PYTHONPATH": str(ROOT)} | variables,
        capture_output=True,
        check=False,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert "Traceback" not in completed.stderr
    return CommandResult(completed.returncode, completed.stdout, completed.stderr)
