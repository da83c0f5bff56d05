"""Runs the commands of `wheatstile store`."""

from __future__ import annotations

import subprocess
import sys

COMMAND_TIMEOUT_S = 120


def run_store_command(*arguments: object) -> subprocess.CompletedProcess[str]:
    """Run `wheatstile store` with `arguments` until it ends, and return its exit status and output."""
    command = [sys.executable, "-m", "wheatstile", "store", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, check=False, timeout=COMMAND_TIMEOUT_S)
