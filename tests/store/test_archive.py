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

from cluster import Members, played
from fleet import Program

from wheatstile.store.client import Client, Undecided


def store(*arguments: object) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "wheatstile", "store", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=120)


def served(
    directory: Path,
    cluster: str,
    work: Callable[[Client], Awaitable[None]],
    name: str = "a",
) -> None:
    """One member on this directory, asked, and ended by SIGTERM."""
    node = Program("store", "serve", "--name", name, "--cluster", cluster, "--dir", str(directory))

    async def run(port: int) -> None:
        client = Client({name: port}, 30)
        try:
            await work(client)
        finally:
            client.close()

    try:
        asyncio.run(run(int(node.expect("ready").split()[3])))
    finally:
        node.signal(signal.SIGTERM)
        assert node.close() == 0


def test_a_backup_becomes_another_cluster(tmp_path: Path) -> None:
    file, folder = tmp_path / "backup", tmp_path / "new"
    revision = 0

    async def fill(members: Members) -> None:
        nonlocal revision
        client = members.client()
        for i in range(60):
            revision = (await client.put(f"k/{i}", str(i).encode())).revision
        client.close()
        options = [f"--member={n}={p}" for n, p in members.clients.items()]
        assert (await asyncio.to_thread(store, "backup", file, *options)).returncode == 0

    played(Members(tmp_path, 1, "abc"), fill)
    new = ("--dir", folder, "--name", "a", "--cluster")
    refused = store("restore", file, *new, "wheatstile")
    assert refused.returncode == 1 and "needs another name" in refused.stderr
    assert store("restore", file, *new, "new").returncode == 0
    refused = store("restore", file, *new, "new")
    assert refused.returncode == 1 and "is not empty" in refused.stderr
    told = json.loads(store("inspect", folder, "--json").stdout)
    assert (told["cluster"], told["snapshot_keys"], told["voters"]) == ("new", 60, ["a"])

    async def asked(client: Client) -> None:
        found = await client.get("k/59")
        assert found and (found.value, found.revision) == (b"59", revision)
        assert (await client.put("k/59", b"", found.revision)).revision > revision

    served(folder, "new", asked)
    file.write_bytes(file.read_bytes()[:-1])
    refused = store("restore", file, "--dir", tmp_path / "torn", "--cluster", "torn")
    assert refused.returncode == 1 and "1 whole records" in refused.stderr


def test_a_directory_of_format_1_is_read(tmp_path: Path) -> None:
    """Written by the first program that had this format; a later one has to go on from it."""
    shutil.copytree(Path(__file__).parent / "format-1", tmp_path / "a")

    async def asked(client: Client) -> None:
        _, found = await client.matching(">")
        assert [(f.key, f.value, f.revision) for f in found] == [
            ("k/0", b"21", 23),
            ("k/1", b"19", 21),
            ("k/2", b"20", 22),
            ("late", b"yes", 24),
        ]

    served(tmp_path / "a", "fixture", asked)


def test_a_full_disk_ends_a_member_and_loses_nothing(tmp_path: Path) -> None:
    """Here the limit is on the size of a file; the write that does not fit is not acknowledged."""
    node = subprocess.Popen(
        [sys.executable, "-m", "wheatstile", "store", "serve", "--dir", str(tmp_path / "a")],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (65_536, 65_536)),
    )
    assert node.stdout and node.stderr
    port = int(node.stdout.readline().split()[3])
    kept: list[str] = []

    async def fill() -> None:
        client = Client({"store": port}, 2.0)
        with suppress(Undecided):  # the member is gone
            for i in range(1000):
                await client.put(f"k/{i}", bytes(1000))
                kept.append(f"k/{i}")
        client.close()

    asyncio.run(fill())
    assert node.wait(timeout=60) == 3 and "File too large" in node.stderr.read()
    node.stdout.close()
    node.stderr.close()
    assert 10 < len(kept) < 100

    async def asked(client: Client) -> None:
        found = {f.key for f in (await client.matching("k/>"))[1]}
        assert found.issuperset(kept)

    served(tmp_path / "a", "wheatstile", asked, "store")
