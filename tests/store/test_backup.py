"""Backup and restore by commands, a member with a full disk, and a directory written by an older version."""

from __future__ import annotations

import asyncio
import json
import resource
import shutil
import subprocess
import sys
from collections.abc import Iterator
from contextlib import closing, suppress
from pathlib import Path

import pytest
from member_process import run_with_member
from process_cluster import ProcessCluster, run_scenario
from store_cli import run_store_command

from wheatstile.store.client import StoreClient
from wheatstile.store.errors import OutcomeUnknownError

KEY_COUNT = 60
MAX_FILE_BYTES = 65_536
EXIT_STORAGE_FAILED = 3


def create_backup(root: Path) -> tuple[Path, int]:
    """Return a backup file with the keys `k/0` to `k/59`, and the revision of the last key.

    The backup is taken from a cluster of three members, which is stopped before the function returns.
    """
    file = root / "backup"
    revision = 0

    async def scenario(cluster: ProcessCluster) -> None:
        nonlocal revision
        client = cluster.client()
        for number in range(KEY_COUNT):
            revision = (await client.put(f"k/{number}", str(number).encode())).revision
        client.close()
        completed = await asyncio.to_thread(run_store_command, "backup", file, *cluster.member_options())
        assert completed.returncode == 0

    run_scenario(ProcessCluster(root, 1, "abc"), scenario)
    return file, revision


def test_a_backup_is_restored_only_under_another_cluster_name_into_an_empty_directory(tmp_path: Path) -> None:
    file, revision = create_backup(tmp_path)
    directory = tmp_path / "new"
    options = ("--dir", directory, "--name", "a", "--cluster")
    rejected = run_store_command("restore", file, *options, "wheatstile")
    assert rejected.returncode == 1
    assert "needs another name" in rejected.stderr
    assert run_store_command("restore", file, *options, "new").returncode == 0
    rejected = run_store_command("restore", file, *options, "new")
    assert rejected.returncode == 1
    assert "is not empty" in rejected.stderr
    summary = json.loads(run_store_command("inspect", directory, "--json").stdout)
    assert (summary["cluster"], summary["snapshot_keys"], summary["voters"]) == ("new", KEY_COUNT, ["a"])

    async def use(client: StoreClient) -> None:
        found = await client.get("k/59")
        assert found
        assert (found.value, found.revision) == (b"59", revision)
        assert (await client.put("k/59", b"", found.revision)).revision > revision

    run_with_member(directory, "new", use)
    file.write_bytes(file.read_bytes()[:-1])
    rejected = run_store_command("restore", file, "--dir", tmp_path / "torn", "--cluster", "torn")
    assert rejected.returncode == 1
    assert "1 complete records" in rejected.stderr


def test_a_directory_of_format_1_is_read(tmp_path: Path) -> None:
    """The directory was written by the first version with this format; later versions have to read it."""
    shutil.copytree(Path(__file__).parent / "format-1", tmp_path / "a")

    async def use(client: StoreClient) -> None:
        listing = await client.list_matching(">")
        assert [(version.key, version.value, version.revision) for version in listing.versions] == [
            ("k/0", b"21", 23),
            ("k/1", b"19", 21),
            ("k/2", b"20", 22),
            ("late", b"yes", 24),
        ]

    run_with_member(tmp_path / "a", "fixture", use)


@pytest.fixture
def member_with_file_size_limit(tmp_path: Path) -> Iterator[subprocess.Popen[str]]:
    """Start a member in `tmp_path / "a"` whose files cannot exceed `MAX_FILE_BYTES`; kill it at the end."""
    member = subprocess.Popen(
        [sys.executable, "-m", "wheatstile", "store", "serve", "--dir", str(tmp_path / "a")],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (MAX_FILE_BYTES, MAX_FILE_BYTES)),
    )
    with member:
        yield member
        member.kill()


async def fill_disk(client_port: int) -> list[str]:
    """Write keys until the member no longer replies, and return the acknowledged keys."""
    acknowledged: list[str] = []
    with closing(StoreClient({"store": client_port}, 2.0)) as client, suppress(OutcomeUnknownError):
        for number in range(1000):
            await client.put(f"k/{number}", bytes(1000))
            acknowledged.append(f"k/{number}")
    return acknowledged


def test_a_member_with_a_full_disk_exits_and_loses_no_acknowledged_write(
    tmp_path: Path, member_with_file_size_limit: subprocess.Popen[str]
) -> None:
    member = member_with_file_size_limit
    assert member.stdout
    assert member.stderr
    _, _, _, client_port = member.stdout.readline().split()
    acknowledged = asyncio.run(fill_disk(int(client_port)))
    assert member.wait(timeout=60) == EXIT_STORAGE_FAILED
    assert "File too large" in member.stderr.read()
    assert 10 < len(acknowledged) < 100

    async def use(client: StoreClient) -> None:
        listing = await client.list_matching("k/>")
        assert {version.key for version in listing.versions}.issuperset(acknowledged)

    run_with_member(tmp_path / "a", "wheatstile", use, "store")
