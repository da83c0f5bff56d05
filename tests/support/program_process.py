"""Runs one command of the program as a process, which a test controls by lines on its standard streams."""

import queue
import subprocess
import sys
import threading

EXIT_TIMEOUT_S = 30
END_OF_OUTPUT = "<end>"


class ProgramProcess:
    """A process of `python -m wheatstile ARGUMENTS`, and a thread that reads its standard output.

    The constructor starts both. `close` ends the process, and the thread ends with the output. Standard error
    is discarded.

    Attributes:
        process: the process, for signals and its exit status.
        history: all lines of the output so far.
    """

    def __init__(self, *arguments: str) -> None:
        self.history: list[str] = []
        self._pending_lines: queue.Queue[str] = queue.Queue()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wheatstile", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            bufsize=1,
        )
        self._reader = threading.Thread(target=self._read_output, daemon=True)
        self._reader.start()

    def _read_output(self) -> None:
        assert self.process.stdout
        for line in self.process.stdout:
            self.history.append(line.rstrip("\n"))
            self._pending_lines.put(line.rstrip("\n"))
        self._pending_lines.put(END_OF_OUTPUT)

    def expect(self, prefix: str, timeout_s: float = 60.0) -> str:
        """Return the next line that starts with `prefix`, and drop the lines before it.

        Raises queue.Empty if the process prints nothing for `timeout_s`.
        """
        while True:
            line = self._pending_lines.get(timeout=timeout_s)
            assert line != END_OF_OUTPUT, f"the process ended before {prefix!r}"
            if line.startswith(prefix):
                return line

    def send_command(self, command: str) -> str:
        """Send one line to the standard input, and return the next line of the output."""
        assert self.process.stdin
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()
        return self.expect("")

    def all_output(self) -> list[str]:
        """Wait until the process has closed its output, and return all lines of the output."""
        self._reader.join()
        return self.history

    def signal(self, number: int) -> None:
        """Send a signal to this process, and not to its children."""
        self.process.send_signal(number)

    def close(self) -> int:
        """Close the standard input, wait for the process to end, and return its exit status.

        A process that has not ended after EXIT_TIMEOUT_S is killed.
        """
        if self.process.stdin:
            self.process.stdin.close()
        try:
            return self.process.wait(timeout=EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()
