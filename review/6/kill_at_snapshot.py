"""Ends a process with SIGKILL when a file is replaced. Usage: kill_at_snapshot.py PID FILE INODE.

INODE is the inode of the file before, or 0 if there is none.
"""

import os
import signal
import sys
import time


def inode_of(path: str) -> int:
    """Return the inode of a file, or 0 if it does not exist."""
    try:
        return os.stat(path).st_ino
    except FileNotFoundError:
        return 0


def main() -> None:
    """Wait for the file, for 30 s at most, and kill the process."""
    process, path, before = int(sys.argv[1]), sys.argv[2], int(sys.argv[3])
    end_s = time.monotonic() + 30
    while inode_of(path) == before:
        if time.monotonic() > end_s:
            sys.exit(2)
    os.kill(process, signal.SIGKILL)


if __name__ == "__main__":
    main()
