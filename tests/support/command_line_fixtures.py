"""Fixtures for tests of commands: a working directory with endpoint files and an operator's file."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from support.command_line import run_command

SERVERS = [
    {"id": "link-1", "address": "127.0.0.1:9001", "site": "home"},
    {"id": "link-2", "address": "127.0.0.1:9002", "site": "home", "weight": 2.0},
    {"id": "link-3", "address": "127.0.0.1:9003", "site": "home"},
]


@pytest.fixture
def working_directory(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Create a temporary directory with files, make it the working directory of the test, and return it.

    `new.json` lists three servers, `few.json` one of them. `bad.json` is an invalid endpoint file. `op.json`
    is an operator's file that names `live.json`, which does not exist yet.
    """
    monkeypatch.chdir(tmp_path)
    (tmp_path / "new.json").write_text(json.dumps({"servers": SERVERS, "generation": 1}, indent=1))
    (tmp_path / "few.json").write_text(json.dumps({"servers": SERVERS[:1], "generation": 9}))
    (tmp_path / "bad.json").write_text('{"servers": [],\n"sael": 1}')
    section = {"file": "live.json", "mode": "override", "state_dir": "."}
    (tmp_path / "op.json").write_text(json.dumps({"servers": section}))
    return tmp_path


@pytest.fixture
def live_file(working_directory: Path) -> Path:
    """Publish `new.json` as `live.json` in `working_directory`, and return the path of `live.json`."""
    assert run_command("servers", "publish", "new.json", "live.json").status == 0
    return working_directory / "live.json"
