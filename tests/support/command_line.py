"""The command line as a process: exit status, standard output and standard error of one call."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[2]
EXAMPLE_CONFIG = ROOT / "example" / "config.json"
TIMEOUT_S = 60.0
"""Only against a hang: no test's result depends on it."""
OWN_VARIABLES = ("RELAY_", "WHEATSTILE_")
"""How the variables begin that the program reads; a call has only those that it is given."""


@dataclass(frozen=True, slots=True)
class CommandResult:
    """What one call of the program came to."""

    status: int
    output: str
    errors: str


def run_command(*arguments: str, **variables: str) -> CommandResult:
    """Call `wheatstile` with these arguments and environment variables; it must end without a trace."""
    inherited = {key: value for key, value in os.environ.items() if not key.startswith(OWN_VARIABLES)}
    done = subprocess.run(
        [sys.executable, "-m", "wheatstile", *arguments],
        env=inherited | {"PYTHONPATH": str(ROOT)} | variables,
        capture_output=True,
        check=False,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert "Traceback" not in done.stderr
    return CommandResult(done.returncode, done.stdout, done.stderr)
