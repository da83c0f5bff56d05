"""Lists too long to be merged on the event loop, with discovery's updates in between."""

import asyncio
from pathlib import Path
from typing import Any

import pytest
from support.endpoint_files import endpoint_rows, sealed_document
from support.servers_section import ServersSectionHarness

from wheatstile import interface as api
from wheatstile.config.endpoints import EndpointSnapshot
from wheatstile.resolvers import endpoint_merger

DRAINED = "s7"


def member(name: str, phase: str = "ready") -> dict[str, Any]:
    """A server in discovery's own form."""
    return {"id": name, "host_port": "127.0.0.1:1", "phase": phase}


def snapshot(revision: int, complete: bool, *members: dict[str, Any]) -> EndpointSnapshot:
    return EndpointSnapshot.read({"revision": revision, "complete": complete, "members": members})


@pytest.fixture
def every_list_is_long(monkeypatch: pytest.MonkeyPatch) -> None:
    """Merge every list in the background, its addresses one by one."""
    monkeypatch.setattr(endpoint_merger, "MAX_ENDPOINTS_MERGED_ON_LOOP", 0)
    monkeypatch.setattr(endpoint_merger, "ADDRESS_BATCH_SIZE", 1)


async def check_drains(harness: ServersSectionHarness, dispatched: list[api.Endpoint]) -> None:
    """Discovery lists 50 servers and drains one of them shortly after, 20 times."""
    names = [f"s{number}" for number in range(50)]
    remaining = [name for name in names if name != DRAINED]
    observer = harness.discovery_watcher.observer
    for revision in range(20):
        full = snapshot(revision, True, *(member(name) for name in names))
        observer.on_update(full, api.EndpointUpdateKind.FULL)
        await asyncio.sleep(0.0005 * (revision % 4))  # somewhere in the merge
        drain = snapshot(revision, False, member(DRAINED, "draining"))
        observer.on_update(drain, api.EndpointUpdateKind.DELTA)
        drained_at = len(dispatched)
        assert DRAINED not in harness.ready()
        await harness.wait_until_ready(*remaining)
        assert not [
            endpoint
            for endpoint in dispatched[drained_at:]
            if endpoint.name == DRAINED and endpoint.state == api.EndpointState.READY
        ]


def test_drain_reported_during_a_background_merge_counts_from_that_instant(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The merge in the thread began before the drain, and must not bring the server back."""
    monkeypatch.setattr(endpoint_merger, "MAX_ENDPOINTS_MERGED_ON_LOOP", 0)
    dispatched: list[api.Endpoint] = []

    async def check() -> None:
        harness = ServersSectionHarness(tmp_path)
        real_dispatch = harness.decisions.dispatch

        def recording_dispatch(event: api.Event) -> None:
            if isinstance(event, api.EndpointUpdate):
                dispatched.extend(event.endpoints)
            real_dispatch(event)

        monkeypatch.setattr(harness.decisions, "dispatch", recording_dispatch)
        await check_drains(harness, dispatched)
        harness.section.close()

    (tmp_path / "s.json").write_bytes(sealed_document({"servers": endpoint_rows("s1")}))
    asyncio.run(check())


@pytest.mark.usefixtures("every_list_is_long")
def test_change_at_the_end_of_a_background_merge_is_merged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The change comes in the turn of the event loop right after the merge has been applied."""

    async def check() -> None:
        harness = ServersSectionHarness(tmp_path)
        observer = harness.discovery_watcher.observer
        late = snapshot(1, False, member("late"))
        real_dispatch = harness.decisions.dispatch

        def dispatch_before_late_change(event: api.Event) -> None:
            real_dispatch(event)
            monkeypatch.setattr(harness.decisions, "dispatch", real_dispatch)
            asyncio.get_running_loop().call_soon(observer.on_update, late, api.EndpointUpdateKind.DELTA)

        monkeypatch.setattr(harness.decisions, "dispatch", dispatch_before_late_change)
        await harness.wait_until_ready("s1", "late")
        harness.section.close()

    (tmp_path / "s.json").write_bytes(sealed_document({"servers": endpoint_rows("s1")}))
    asyncio.run(check())


@pytest.mark.usefixtures("every_list_is_long")
def test_addresses_of_a_merge_that_was_overtaken_are_corrected(tmp_path: Path) -> None:
    """A server is gone, and another back at its old address, while the addresses are being set."""

    async def check() -> None:
        harness = ServersSectionHarness(tmp_path)
        observer = harness.discovery_watcher.observer
        await harness.wait_until_ready("s1")
        observer.on_update(
            snapshot(1, True, member("s1"), member("moving"), member("stays")), api.EndpointUpdateKind.FULL
        )
        await harness.wait_until_ready("s1", "moving", "stays")
        moved = member("moving") | {"host_port": "127.0.0.1:2"}
        observer.on_update(snapshot(2, False, moved, member("new")), api.EndpointUpdateKind.DELTA)
        while "new" not in harness.upstreams.by_name:  # its address is set, the merge is not applied yet
            await asyncio.sleep(0)
        assert "new" not in harness.ready()
        overtaking = snapshot(3, False, member("moving"), member("new", "gone"))
        observer.on_update(overtaking, api.EndpointUpdateKind.DELTA)
        last = snapshot(4, False, member("last"))
        observer.on_update(last, api.EndpointUpdateKind.DELTA)
        await harness.wait_until_ready("s1", "moving", "stays", "last")
        assert harness.upstreams.by_name["moving"].address == ("127.0.0.1", 1)
        assert "new" not in harness.upstreams.by_name
        harness.section.close()

    (tmp_path / "s.json").write_bytes(sealed_document({"servers": endpoint_rows("s1")}))
    asyncio.run(check())
