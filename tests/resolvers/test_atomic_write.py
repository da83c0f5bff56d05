"""Tests for the atomic replacement of files, including writers that are killed or run out of disk space."""

import os
import signal
import stat
import subprocess
import sys
from pathlib import Path

import pytest
from support.balancer import ROOT

from wheatstile.resolvers.atomic_write import write_atomic

KILLED_WRITER = """
import os, signal, sys
from pathlib import Path
from wheatstile.resolvers.atomic_write import write_atomic
os.replace = lambda *_: os.kill(os.getpid(), signal.SIGKILL)
write_atomic(Path(sys.argv[1]), b"new")
"""
WRITER_ON_FULL_DISK = """
import resource, sys
from pathlib import Path
from wheatstile.resolvers.atomic_write import write_atomic
resource.setrlimit(resource.RLIMIT_FSIZE, (100, 100))
try:
    write_atomic(Path(sys.argv[1]), b"x" * 1000)
except OSError as error:
    sys.exit(error.strerror)
"""


@pytest.mark.parametrize(
    ("script", "status", "leftover_files"),
    [(KILLED_WRITER, -signal.SIGKILL, 1), (WRITER_ON_FULL_DISK, 1, 0)],
)
def test_write_that_fails_leaves_the_old_file_and_the_next_write_removes_temporary_files(
    tmp_path: Path, script: str, status: int, leftover_files: int
) -> None:
    path = tmp_path / "f"
    write_atomic(path, b"old")

    run = subprocess.run(
        [sys.executable, "-c", script, str(path)], cwd=ROOT, capture_output=True, text=True, check=False
    )

    assert run.returncode == status, run.stderr
    assert path.read_bytes() == b"old"
    assert len(os.listdir(tmp_path)) == 1 + leftover_files

    write_atomic(path, b"next")
    assert path.read_bytes() == b"next"
    assert os.listdir(tmp_path) == ["f"]
    assert stat.S_IMODE(path.stat().st_mode) == 0o644
