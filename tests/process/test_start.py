"""The start of the process: an address in use, an unusable configuration, and signals during the start."""

import json
import os
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
from support.balancer import ROOT, SLOW_CONNECT, WITHOUT_HEALTH_CHECKS, Balancer
from support.peer import Listener

NO_SETTINGS = "a configuration without settings"
COUNTER_REPORTS_THAT_FILL_A_PIPE = 600  # a report has more than 110 bytes, and a pipe buffers 64 KiB


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


@pytest.mark.parametrize("settings", [{}])
@pytest.mark.parametrize(
    ("text", "message"), [("{", "config.json"), (NO_SETTINGS, "missing"), ("[]", "config.json")]
)
def test_unusable_configuration_is_reported_in_one_line(balancer: Balancer, text: str, message: str) -> None:
    if text == NO_SETTINGS:
        text = json.dumps(balancer.config() | {"settings": {}})

    balancer.start(text=text)

    assert balancer.wait() == 2
    errors = balancer.stop()
    assert errors.count("\n") == 1, errors
    assert message in errors


@pytest.mark.parametrize("settings", [{}])
def test_process_serves_once_its_address_is_free(balancer: Balancer) -> None:
    balancer.write_config()
    with socket.create_server(balancer.listen):
        balancer.launch()
        balancer.wait_for_event("bind_address_in_use")
    balancer.wait_for_event("serving_started")


def test_sigterm_while_the_address_is_in_use_ends_it(balancer: Balancer) -> None:
    balancer.write_config()
    with socket.create_server(balancer.listen):
        balancer.launch()
        balancer.wait_for_event("bind_address_in_use")
        balancer.terminate()
        assert balancer.wait() == 0
    assert '"serving_started"' not in balancer.stop()


def test_sighup_while_the_address_is_in_use_changes_discovery(balancer: Balancer) -> None:
    balancer.write_config()
    new_discovery = Listener()
    with socket.create_server(balancer.listen):
        balancer.launch()
        balancer.wait_for_event("bind_address_in_use")
        balancer.reload(discovery=new_discovery.address)
        assert new_discovery.watch()[1] == "GET /discovery/hosts HTTP/1.1"
    balancer.wait_for_event("serving_started")


@pytest.mark.parametrize("settings", [WITHOUT_HEALTH_CHECKS])
def test_sighup_before_the_listener_is_open_is_not_lost(balancer: Balancer) -> None:
    text = json.dumps(balancer.config())
    os.mkfifo(balancer.path)
    balancer.launch()
    with open(balancer.path, "w") as file:  # blocks until the program opens the file
        balancer.process.send_signal(signal.SIGHUP)
        file.write(text)
    balancer.wait_for_event("serving_started")
    balancer.path.write_text(text)  # read by the reload

    balancer.wait_for_event("config_reloaded")
    balancer.wait_until_ready()


def test_sighup_while_the_program_is_loaded_ends_nothing(balancer: Balancer) -> None:
    """Run the command of the deploy file. `sitecustomize` blocks the start until the signal is sent."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    directory = Path(balancer.temporary_directory.name)
    start_fifo = directory / "start_fifo"
    os.mkfifo(start_fifo)
    (directory / "sitecustomize.py").write_text(f"open({str(start_fifo)!r}).read()\n")
    balancer.write_config()
    environ = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
    balancer.process = subprocess.Popen(
        ["/bin/sh", "-c", command.replace(".run/bin/python", sys.executable)],
        cwd=ROOT,
        env=environ | {"RELAY_CONFIG": str(balancer.path), "PYTHONPATH": str(directory)},
        stderr=subprocess.PIPE,
        text=True,
    )

    with open(start_fifo, "w"):  # blocks until the interpreter opens it
        balancer.process.send_signal(signal.SIGHUP)

    balancer.wait_for_event("serving_started")
    balancer.wait_until_ready()


@pytest.mark.parametrize("settings", [{}])
def test_counters_are_logged_on_sigusr1(balancer: Balancer) -> None:
    balancer.start()
    _client, _server = balancer.establish()
    counters = balancer.counters()
    assert (counters["sessions_requested"], counters["attempts_established"]) == (1, 1)


@pytest.mark.parametrize("settings", [{}])
def test_balancer_serves_though_its_log_cannot_be_written(balancer: Balancer) -> None:
    with open("/dev/full", "wb") as full:
        balancer.start(stderr=full)
        client, _server = balancer.establish()
        balancer.terminate()  # the shutdown also writes to the log
        assert client.line() == "MOVE"
        assert balancer.wait() == 0


def test_balancer_serves_though_nobody_reads_its_log(balancer: Balancer) -> None:
    """Guards against a balancer that stops for all its clients while the pipe of its log is full."""
    balancer.start()
    client, server = balancer.establish()
    for _ in range(COUNTER_REPORTS_THAT_FILL_A_PIPE):
        balancer.process.send_signal(signal.SIGUSR1)
        balancer.pinged_client().close()  # the answer shows that the signal has been handled
    client.send("still served")
    assert server.line() == "still served"
    balancer.counters()  # the balancer writes to the log again once it is read
