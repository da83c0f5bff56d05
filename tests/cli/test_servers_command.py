"""`wheatstile servers` as a process: endpoint files are published, compared, accepted and explained."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest
from support.command_line import run_command

pytestmark = pytest.mark.usefixtures("working_directory")


@pytest.mark.usefixtures("live_file")
def test_published_file_is_sealed_and_valid() -> None:
    result = run_command("servers", "check", "live.json", "--file", "op.json")
    assert result.status == 0
    assert "sealed" in result.output
    assert "3 of 3 servers ready" in result.output


@pytest.mark.usefixtures("live_file")
def test_publish_rejects_the_removal_of_too_many_ready_servers() -> None:
    result = run_command("servers", "publish", "few.json", "live.json")
    assert result.status == 1
    assert "removes 2 of 3 ready servers" in result.errors


@pytest.mark.usefixtures("live_file")
def test_diff_lists_removed_servers_as_json_and_as_a_table() -> None:
    as_json = run_command("servers", "diff", "live.json", "few.json", "--json")
    assert [server["change"] for server in json.loads(as_json.output)["servers"]] == ["removed", "removed"]
    assert "link-2    removed" in run_command("servers", "diff", "live.json", "few.json").output


def test_publish_with_accept_and_bump_raises_the_generation_and_writes_the_approval(live_file: Path) -> None:
    result = run_command("servers", "publish", "few.json", "live.json", "--accept", "--bump")

    assert result.status == 0
    assert "generation 2" in result.output
    accepted = json.loads(Path("live.json.accept").read_text())["digest"]
    assert accepted == json.loads(live_file.read_text())["seal"]
    older = run_command("servers", "publish", "new.json", "live.json")
    assert older.status == 1, "a lower generation was published"


def test_seal_and_accept_succeed_for_a_valid_file() -> None:
    assert run_command("servers", "seal", "new.json").status == 0
    assert run_command("servers", "accept", "new.json").status == 0


def test_seal_leaves_a_file_that_would_be_too_large_with_its_seal() -> None:
    """Guards against a sealed file that no balancer accepts."""
    unsealed = Path("few.json").read_bytes()
    section = {"file": "live.json", "most_bytes": len(unsealed)}
    Path("op.json").write_text(json.dumps({"servers": section}))

    result = run_command("servers", "seal", "few.json", "--file", "op.json")

    assert result.status == 1
    assert f"larger than the limit of {len(unsealed)} bytes" in result.errors
    assert Path("few.json").read_bytes() == unsealed


def test_explain_prints_the_active_source_and_the_reason() -> None:
    member = {"id": "link-1", "host_port": "127.0.0.1:9001", "locality": "home", "phase": "draining"}
    answer = {"revision": 1, "complete": True, "members": [member]}
    Path("discovery.json").write_text(json.dumps(answer))
    explain = ("servers", "explain", "new.json", "--discovery", "discovery.json")

    assert "active source: discovery; discovery answers" in run_command(*explain).output
    silent = run_command(*explain, "--silent-s", "11")
    assert silent.status == 0
    assert "active source: file; discovery has been silent for 11.0 s" in silent.output
    assert re.search(r"link-1 .* draining +file; discovery reports it as draining", silent.output)


def test_rejection_prints_every_violation_to_standard_error() -> None:
    result = run_command("servers", "check", "bad.json")
    assert (result.status, result.output) == (1, "")
    assert [line.split(": ")[:2] for line in result.errors.splitlines()] == [
        ["bad.json:1", "/servers"],
        ["bad.json:2", "/sael"],
    ]
    missing = run_command("servers", "check", "none.json")
    assert missing.errors == "none.json:1: /: No such file or directory\n"
