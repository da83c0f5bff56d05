"""Backups, restored clusters, and directories of an earlier program, by the program's own commands."""

from __future__ import annotations

import asyncio
import json
import resource
import shutil
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import pytest
from fleet import Program
from process_cluster import ProcessCluster, run_scenario

from wheatstile.store.client import StoreClient
from wheatstile.store.errors import OutcomeUnknownError

KEY_COUNT = 60
MAX_FILE_BYTES = 65_536
STORAGE_FAILED = 3


def run_command(*arguments: object) -> subprocess.CompletedProcess[str]:
    """Run `wheatstile store` with these arguments."""
    command = [sys.executable, "-m", "wheatstile", "store", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, check=False, timeout=120)


def use_member(
    directory: Path, cluster: str, use: Callable[[StoreClient], Awaitable[None]], name: str = "a"
) -> None:
    """Serve one member on this directory, use it by a client, and end it by SIGTERM."""
    process = Program("store", "serve", "--name", name, "--cluster", cluster, "--dir", str(directory))

    async def run(port: int) -> None:
        client = StoreClient({name: port}, 30)
        try:
            await use(client)
        finally:
            client.close()

    try:
        _, _, _, client_port = process.expect("ready").split()
        asyncio.run(run(int(client_port)))
    finally:
        process.signal(signal.SIGTERM)
        assert process.close() == 0


def create_backup(root: Path) -> tuple[Path, int]:
    """Return a backup of a cluster with the keys `k/0` to `k/59`, and the revision of the last."""
    file = root / "backup"
    revision = 0

    async def scenario(cluster: ProcessCluster) -> None:
        nonlocal revision
        client = cluster.client()
        for number in range(KEY_COUNT):
            revision = (await client.put(f"k/{number}", str(number).encode())).revision
        client.close()
        options = [f"--member={name}={port}" for name, port in cluster.client_ports.items()]
        completed = await asyncio.to_thread(run_command, "backup", file, *options)
        assert completed.returncode == 0

    run_scenario(ProcessCluster(root, 1, "abc"), scenario)
    return file, revision


def test_a_backup_becomes_another_cluster(tmp_path: Path) -> None:
    file, revision = create_backup(tmp_path)
    directory = tmp_path / "new"
    options = ("--dir", directory, "--name", "a", "--cluster")
    rejected = run_command("restore", file, *options, "wheatstile")
    assert rejected.returncode == 1
    assert "needs another name" in rejected.stderr
    assert run_command("restore", file, *options, "new").returncode == 0
    rejected = run_command("restore", file, *options, "new")
    assert rejected.returncode == 1
    assert "is not empty" in rejected.stderr
    summary = json.loads(run_command("inspect", directory, "--json").stdout)
    assert (summary["cluster"], summary["snapshot_keys"], summary["voters"]) == ("new", KEY_COUNT, ["a"])

    async def use(client: StoreClient) -> None:
        found = await client.get("k/59")
        assert found
        assert (found.value, found.revision) == (b"59", revision)
        assert (await client.put("k/59", b"", found.revision)).revision > revision

    use_member(directory, "new", use)
    file.write_bytes(file.read_bytes()[:-1])
    rejected = run_command("restore", file, "--dir", tmp_path / "torn", "--cluster", "torn")
    assert rejected.returncode == 1
    assert "1 whole records" in rejected.stderr


def test_a_directory_of_format_1_is_read(tmp_path: Path) -> None:
    """Written by the first program that had this format; a later one has to go on from it."""
    shutil.copytree(Path(__file__).parent / "format-1", tmp_path / "a")

    async def use(client: StoreClient) -> None:
        listing = await client.list_matching(">")
        assert [(version.key, version.value, version.revision) for version in listing.versions] == [
            ("k/0", b"21", 23),
            ("k/1", b"19", 21),
            ("k/2", b"20", 22),
            ("late", b"yes", 24),
        ]

    use_member(tmp_path / "a", "fixture", use)


@pytest.fixture
def member_with_small_files(tmp_path: Path) -> subprocess.Popen[str]:
    """Return a member in `tmp_path / "a"` whose files cannot grow above `MAX_FILE_BYTES`."""
    return subprocess.Popen(
        [sys.executable, "-m", "wheatstile", "store", "serve", "--dir", str(tmp_path / "a")],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (MAX_FILE_BYTES, MAX_FILE_BYTES)),
    )


def test_a_full_disk_ends_a_member_and_loses_nothing(
    tmp_path: Path, member_with_small_files: subprocess.Popen[str]
) -> None:
    """The write that does not fit is not acknowledged."""
    member = member_with_small_files
    assert member.stdout
    assert member.stderr
    _, _, _, client_port = member.stdout.readline().split()
    acknowledged: list[str] = []

    async def fill() -> None:
        client = StoreClient({"store": int(client_port)}, 2.0)
        with suppress(OutcomeUnknownError):  # the member has ended
            for number in range(1000):
                await client.put(f"k/{number}", bytes(1000))
                acknowledged.append(f"k/{number}")
        client.close()

    asyncio.run(fill())
    assert member.wait(timeout=60) == STORAGE_FAILED
    assert "File too large" in member.stderr.read()
    member.stdout.close()
    member.stderr.close()
    assert 10 < len(acknowledged) < 100

    async def use(client: StoreClient) -> None:
        listing = await client.list_matching("k/>")
        assert {version.key for version in listing.versions}.issuperset(acknowledged)

    use_member(tmp_path / "a", "wheatstile", use, "store")
