"""Tests for merges in the background, with updates from discovery during the merge."""

import asyncio
from pathlib import Path
from typing import Any

import pytest
from support.endpoint_files import endpoint_rows, sealed_document
from support.servers_section import ServersSectionHarness, running_servers_section

from wheatstile import interface as api
from wheatstile.config.endpoints import EndpointSnapshot
from wheatstile.resolvers import endpoint_merger, endpoint_publisher

FULL = api.EndpointUpdateKind.FULL
DELTA = api.EndpointUpdateKind.DELTA
DRAINED = "s7"


def member(name: str, phase: str = "ready", port: int = 1) -> dict[str, Any]:
    """Return a server in the JSON form that discovery sends."""
    return {"id": name, "host_port": f"127.0.0.1:{port}", "phase": phase}


def snapshot(revision: int, complete: bool, *members: dict[str, Any]) -> EndpointSnapshot:
    """Return an update from discovery: a complete list of these servers, or a delta."""
    return EndpointSnapshot.read({"revision": revision, "complete": complete, "members": members})


@pytest.fixture
def endpoint_directory(tmp_path: Path) -> Path:
    """Return a directory with an endpoint file that lists the server s1."""
    (tmp_path / "s.json").write_bytes(sealed_document({"servers": endpoint_rows("s1")}))
    return tmp_path


@pytest.fixture
def merge_in_background(monkeypatch: pytest.MonkeyPatch) -> None:
    """Merge every list in the background, however short it is."""
    monkeypatch.setattr(endpoint_merger, "MAX_ENDPOINTS_MERGED_ON_LOOP", 0)


@pytest.fixture
def set_addresses_one_by_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Return control to the event loop after each address that a background merge sets."""
    monkeypatch.setattr(endpoint_publisher, "ADDRESS_BATCH_SIZE", 1)


class EndpointRecorder:
    """Records the endpoints of all updates that a decision loop receives."""

    def __init__(self, harness: ServersSectionHarness, monkeypatch: pytest.MonkeyPatch) -> None:
        self.endpoints: list[api.Endpoint] = []
        self._real_dispatch = harness.decision_loop.dispatch
        monkeypatch.setattr(harness.decision_loop, "dispatch", self._dispatch)

    def _dispatch(self, event: api.Event) -> None:
        if isinstance(event, api.EndpointUpdate):
            self.endpoints.extend(event.endpoints)
        self._real_dispatch(event)

    def ready_since(self, start: int, name: str) -> list[api.Endpoint]:
        """Return the recorded endpoints from this index on that show the server as ready."""
        recorded = self.endpoints[start:]
        return [endpoint for endpoint in recorded if endpoint.name == name and endpoint.is_ready]


@pytest.mark.usefixtures("merge_in_background")
def test_server_drained_during_a_background_merge_does_not_become_ready_again(
    endpoint_directory: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A merge that begins before the drain is reported must not publish the server as ready."""
    names = [f"s{number}" for number in range(50)]
    remaining = [name for name in names if name != DRAINED]

    async def check() -> None:
        async with running_servers_section(endpoint_directory) as harness:
            recorder = EndpointRecorder(harness, monkeypatch)
            observer = harness.discovery_watcher.observer
            for revision in range(20):
                observer.on_update(snapshot(revision, True, *map(member, names)), FULL)
                await asyncio.sleep(0.0005 * (revision % 4))  # drains at different points of the merge
                observer.on_update(snapshot(revision, False, member(DRAINED, "draining")), DELTA)
                drained_at = len(recorder.endpoints)
                assert DRAINED not in harness.ready()

                await harness.wait_until_ready(*remaining)
                assert not recorder.ready_since(drained_at, DRAINED)

    asyncio.run(check())


@pytest.mark.usefixtures("merge_in_background", "set_addresses_one_by_one")
def test_change_at_the_end_of_a_background_merge_is_merged(
    endpoint_directory: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The change arrives in the iteration of the event loop after the merge has been published."""

    async def check() -> None:
        async with running_servers_section(endpoint_directory) as harness:
            observer = harness.discovery_watcher.observer
            late = snapshot(1, False, member("late"))
            real_dispatch = harness.decision_loop.dispatch

            def dispatch_before_late_change(event: api.Event) -> None:
                real_dispatch(event)
                monkeypatch.setattr(harness.decision_loop, "dispatch", real_dispatch)
                asyncio.get_running_loop().call_soon(observer.on_update, late, DELTA)

            monkeypatch.setattr(harness.decision_loop, "dispatch", dispatch_before_late_change)

            await harness.wait_until_ready("s1", "late")

    asyncio.run(check())


@pytest.mark.usefixtures("merge_in_background", "set_addresses_one_by_one")
def test_addresses_of_a_superseded_merge_are_corrected(endpoint_directory: Path) -> None:
    """While addresses are being set, a new server is removed, and a moved one gets its old address back."""

    async def check() -> None:
        async with running_servers_section(endpoint_directory) as harness:
            observer = harness.discovery_watcher.observer
            await harness.wait_until_ready("s1")
            observer.on_update(snapshot(1, True, member("s1"), member("moving"), member("stays")), FULL)
            await harness.wait_until_ready("s1", "moving", "stays")
            observer.on_update(snapshot(2, False, member("moving", port=2), member("new")), DELTA)
            while "new" not in harness.upstreams.by_name:  # the address is set before the merge is published
                await asyncio.sleep(0)
            assert "new" not in harness.ready()

            observer.on_update(snapshot(3, False, member("moving"), member("new", "gone")), DELTA)
            observer.on_update(snapshot(4, False, member("last")), DELTA)
            await harness.wait_until_ready("s1", "moving", "stays", "last")
            assert harness.upstreams.by_name["moving"].address == ("127.0.0.1", 1)
            assert "new" not in harness.upstreams.by_name

    asyncio.run(check())
