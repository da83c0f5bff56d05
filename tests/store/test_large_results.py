"""Results that are larger than a frame, from a member as a process."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from member_process import run_with_member
from store_cli import run_store_command

from wheatstile.store.client import StoreClient
from wheatstile.store.commands import MAX_TTL_MS, MAX_VALUE_BYTES, Operation, OperationKind
from wheatstile.store.errors import RequestRejectedError
from wheatstile.store.framing import MAX_FRAME_BYTES, MAX_REQUEST_BYTES

KEY_COUNT = MAX_FRAME_BYTES // MAX_VALUE_BYTES + 1
TIMEOUT_S = 20
EXIT_USAGE = 2


async def write_values(client: StoreClient) -> list[int]:
    """Write `KEY_COUNT` values of the maximum size, which together exceed a frame. Return their revisions."""
    return [
        (await client.put(f"k/{number:02}", bytes([number]) * MAX_VALUE_BYTES)).revision
        for number in range(KEY_COUNT)
    ]


def test_a_watch_that_missed_more_than_a_frame_gets_all_events(tmp_path: Path) -> None:
    """Guards against a watch that prints nothing more, without an error."""

    async def use(client: StoreClient) -> None:
        revisions = await write_values(client)
        seen = []
        async with asyncio.timeout(TIMEOUT_S):
            async for event in client.watch("k/>", 0):
                seen.append((event.revision, event.value))
                if event.revision == revisions[-1]:
                    break
        values = [bytes([number]) * MAX_VALUE_BYTES for number in range(KEY_COUNT)]
        assert seen == list(zip(revisions, values, strict=True))

    run_with_member(tmp_path, "wheatstile", use)


def test_a_list_that_is_larger_than_a_frame_is_complete(tmp_path: Path) -> None:
    """Guards against a list that ends with an unknown outcome."""

    async def use(client: StoreClient) -> None:
        revisions = await write_values(client)
        listing = await client.list_matching("k/>")
        assert [version.revision for version in listing.versions] == revisions
        assert listing.revision == revisions[-1]
        member = [f"--member={name}={port}" for name, port in client.members.items()]
        completed = await asyncio.to_thread(run_store_command, "get", "k/>", "--json", *member)
        assert completed.returncode == 0
        assert completed.stdout.count('"revision"') == KEY_COUNT

    run_with_member(tmp_path, "wheatstile", use)


@pytest.mark.parametrize("command", [("put", "k", "v", "--ttl"), ("get", "k", "--stale")])
def test_a_duration_that_is_not_finite_is_rejected(command: tuple[str, ...]) -> None:
    """Guards against a traceback of the command."""
    completed = run_store_command(*command, "inf", "--member=a=1")
    assert completed.returncode == EXIT_USAGE
    assert "inf is not in the range" in completed.stderr


def test_a_write_above_a_limit_is_rejected_with_its_reason(tmp_path: Path) -> None:
    """Guards against an unknown outcome of a write that no member accepts."""

    async def use(client: StoreClient) -> None:
        values = [bytes(MAX_VALUE_BYTES)] * (MAX_REQUEST_BYTES // MAX_VALUE_BYTES)
        operations = [
            Operation(OperationKind.PUT, f"k/{number}", value) for number, value in enumerate(values)
        ]
        with pytest.raises(RequestRejectedError, match=f"the limit is {MAX_REQUEST_BYTES} bytes"):
            await client.write(operations)
        assert (await client.write(operations[1:])).ok
        with pytest.raises(RequestRejectedError, match=f"the limit is {MAX_VALUE_BYTES} bytes"):
            await client.put("k", bytes(MAX_VALUE_BYTES + 1))
        for ttl_ms, reason in ((MAX_TTL_MS + 1, "ttl of"), (2**64, "exceeds 64 bits")):
            with pytest.raises(RequestRejectedError, match=reason):
                await client.put("k", b"", ttl_ms=ttl_ms)

    run_with_member(tmp_path, "wheatstile", use)
