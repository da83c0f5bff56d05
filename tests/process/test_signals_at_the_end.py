"""Signals that arrive while the process ends."""

import signal
import subprocess
import time
from pathlib import Path

import pytest
from support.balancer import Balancer
from support.program_process import ProgramProcess

SIGNAL_INTERVAL_S = 0.0005


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP])
def test_repeated_signals_do_not_change_the_exit_status(balancer: Balancer, number: signal.Signals) -> None:
    """Guards against a planned restart that is reported as a crash because a signal arrives at the exit."""
    balancer.start(stderr=subprocess.DEVNULL)
    balancer.establish()  # loads everything that a session needs
    balancer.terminate()
    assert exit_status_under_signals(balancer.process, number) == 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_repeated_signals_do_not_change_the_exit_status_of_the_store(
    tmp_path: Path, number: signal.Signals
) -> None:
    member = ProgramProcess("store", "serve", "--listen=0", "--client=0", f"--dir={tmp_path}")
    member.expect("ready")
    assert exit_status_under_signals(member.process, number) == 0


def exit_status_under_signals(process: subprocess.Popen[str], number: signal.Signals) -> int:
    """Send a signal repeatedly until the process has ended, and return its exit status."""
    while process.poll() is None:
        process.send_signal(number)
        time.sleep(SIGNAL_INTERVAL_S)
    return process.returncode
