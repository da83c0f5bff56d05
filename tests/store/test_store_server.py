"""Members as processes with concurrent clients, SIGKILL, SIGSTOP, restarts, cut connections and lost frames.

The histories of the clients must be linearizable, and the logs of the members must agree.
`WHEATSTILE_SEEDS=N-N pytest tests/store/test_store_server.py -k faults` repeats the fault schedule of seed N.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Sequence
from contextlib import closing
from pathlib import Path

import pytest
from linearizability import is_linearizable
from process_cluster import ProcessCluster, check_member_output, run_scenario
from process_faults import inject_faults
from register_user import Histories, RegisterUser
from store_cli import run_store_command

from wheatstile.store.client import StoreClient
from wheatstile.store.errors import OutcomeUnknownError
from wheatstile.store.framing import LENGTH_PREFIX
from wheatstile.store.protocol import Request, RequestKind

FIRST_SEED, _, LAST_SEED = os.environ.get("WHEATSTILE_SEEDS", "1-2").partition("-")
SEEDS = range(int(FIRST_SEED), int(LAST_SEED or FIRST_SEED) + 1)
KEYS = ("k/a", "k/b")
CLIENT_COUNT = 5
FAULT_COUNT = 14
LAST_VALUE = "end"


async def run_clients_under_faults(
    cluster: ProcessCluster, clients: Sequence[StoreClient], seed: int
) -> tuple[Histories, list[str]]:
    """Run concurrent clients while faults are injected, and return the histories and the faults."""
    stopped = asyncio.Event()
    histories: Histories = {key: [] for key in KEYS}
    async with asyncio.TaskGroup() as tasks:
        for number, client in enumerate(clients):
            tasks.create_task(RegisterUser(client, number, seed, histories).run(stopped))
        faults = await inject_faults(cluster, random.Random(seed), FAULT_COUNT)
        stopped.set()
    return histories, faults


async def recover(cluster: ProcessCluster) -> None:
    """End all faults, start the missing members, and wait until all members have applied a write."""
    cluster.resume_all()
    cluster.inject("heal")
    cluster.start_missing()
    with closing(cluster.client(timeout_s=60)) as client:
        revision = (await client.put("last", b"")).revision
        await wait_until_all_applied(client, cluster, revision)


async def wait_until_all_applied(client: StoreClient, cluster: ProcessCluster, revision: int) -> None:
    """Wait until all members have applied a revision."""
    for name in cluster.names:
        await wait_until_applied(client, name, revision)


async def wait_until_applied(client: StoreClient, name: str, revision: int) -> None:
    """Wait until a member has applied a revision."""
    while (await client.status(name)).applied_index < revision:
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("seed", SEEDS)
def test_histories_under_faults_are_linearizable(tmp_path: Path, seed: int) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        clients = [cluster.client(timeout_s=3.0) for _ in range(CLIENT_COUNT)]
        histories, faults = await run_clients_under_faults(cluster, clients, seed)
        await recover(cluster)
        for client in clients:
            client.close()
        for key, history in histories.items():
            assert is_linearizable(history), f"seed {seed}: {key} is not linearizable; faults: {faults}"
        answered = sum(operation.is_answered for history in histories.values() for operation in history)
        assert answered > 30, f"seed {seed}: only {answered} operations were answered; faults: {faults}"

    assert check_member_output(run_scenario(ProcessCluster(tmp_path, seed), scenario)) > 30


async def run_command(cluster: ProcessCluster, *arguments: str) -> str:
    """Run `wheatstile store` with `arguments` until it ends, and return its output.

    Raises AssertionError with the error output if the exit status is not 0.
    """
    options = (*cluster.member_options(), "--within", "30")
    completed = await asyncio.to_thread(run_store_command, *arguments, *options)
    assert completed.returncode == 0, completed.stderr
    return completed.stdout


def test_commands_add_and_remove_members_and_transfer_leadership(tmp_path: Path) -> None:
    """The added member receives a snapshot, because the log has been compacted."""

    async def scenario(cluster: ProcessCluster) -> None:
        client = cluster.client(timeout_s=30)
        for number in range(100):
            revision = (await client.put(f"k/{number}", str(number).encode())).revision
        cluster.start("d", voters="abc")
        peer_port = str(cluster.peer_ports["d"])
        assert "voters a b c d" in await run_command(cluster, "add", "d", "--peer-port", peer_port)
        await wait_until_applied(client, "d", revision)
        found = await client.get("k/0", max_staleness_ms=60_000)
        assert found
        assert found.value == b"0"
        await run_command(cluster, "transfer", "d")
        assert await cluster.leader() == "d"
        assert "voters b c d" in await run_command(cluster, "remove", "a")
        cluster.kill("a")
        assert '"99"' in await run_command(cluster, "get", "k/99", "--json")
        with pytest.raises(AssertionError, match="is at revision"):
            await run_command(cluster, "put", "k/99", "x", "--revision", "1")
        client.close()

    output = run_scenario(ProcessCluster(tmp_path, 1, "abcd"), scenario, voters="abc")
    assert check_member_output(output) > 100
    assert any(line.startswith("snapshot") for line in output["d"])


async def watch_until_last_value(client: StoreClient) -> list[str]:
    """Return the values of the keys `w/>` in the order of their events, up to `LAST_VALUE`."""
    values: list[str] = []
    async for event in client.watch("w/>", 0):
        values.append(event.value.decode())
        if values[-1] == LAST_VALUE:
            break
    return values


def test_a_watch_has_no_gaps_and_no_duplicates_when_leaders_are_killed(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        client = cluster.client()
        async with asyncio.TaskGroup() as tasks:
            watch_task = tasks.create_task(watch_until_last_value(client))
            for round_number in range(6):
                for number in range(10):
                    await client.put("w/x", f"{round_number}.{number}".encode())
                victim = await cluster.leader()
                cluster.kill(victim)
                await client.put("w/x", f"{round_number}.without {victim}".encode())
                cluster.start(victim)
            await client.put("w/x", LAST_VALUE.encode())
            seen = await asyncio.wait_for(watch_task, 60)
        client.close()
        assert len(seen) == 6 * 11 + 1
        assert len(set(seen)) == len(seen)
        assert seen == sorted(seen, key=lambda value: (value == LAST_VALUE, value[:2], "without" in value))

    run_scenario(ProcessCluster(tmp_path, 2, "abc"), scenario)


def test_an_isolated_member_serves_only_reads_that_allow_a_stale_state(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        client = cluster.client()
        await client.put("k", b"old")
        leader = await cluster.leader()
        isolated = StoreClient({leader: cluster.client_ports[leader]}, timeout_s=2.0)
        assert await isolated.get("k")
        cluster.inject(f"isolate {leader}")
        other_ports = {name: port for name, port in cluster.client_ports.items() if name != leader}
        others = StoreClient(other_ports, timeout_s=20)
        await others.put("k", b"new")
        with pytest.raises(OutcomeUnknownError):
            await isolated.get("k")
        with pytest.raises(OutcomeUnknownError, match="stale"):
            await isolated.get("k", max_staleness_ms=200)
        stale = await isolated.get("k", max_staleness_ms=60_000)
        assert stale
        assert stale.value == b"old"
        with pytest.raises(OutcomeUnknownError):
            await isolated.put("k", b"never")
        cluster.inject("heal")
        found = await isolated.get("k") if await cluster.leader() else None
        assert found
        assert found.value == b"new"
        for each in (client, isolated, others):
            each.close()

    run_scenario(ProcessCluster(tmp_path, 3, "abc"), scenario)


def test_a_malformed_frame_closes_only_its_connection(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        client = cluster.client()
        await client.put("k", b"1")
        for port in (cluster.client_ports["a"], cluster.peer_ports["a"]):
            for malformed in (b"\xff\xff\xff\xff", LENGTH_PREFIX.pack(3) + b"abc", b"\x00"):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(malformed)
                writer.write_eof()
                assert await reader.read() == b""
                writer.close()
        reply = await client.request(Request(RequestKind.GET, key="k"))
        assert reply.versions[0].value == b"1"
        client.close()

    run_scenario(ProcessCluster(tmp_path, 4, "ab"), scenario, voters="a")
