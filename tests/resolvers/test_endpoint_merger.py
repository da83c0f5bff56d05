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


def test_drain_reported_during_a_background_merge_holds_from_that_instant(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The merge in the thread began before the drain, and must not bring the server back."""
    monkeypatch.setattr(endpoint_merger, "MAX_ENDPOINTS_MERGED_ON_LOOP", 0)  # every list counts as long
    dispatched: list[api.Endpoint] = []
    names = [f"s{number}" for number in range(50)]
    remaining = [name for name in names if name != DRAINED]

    async def check() -> None:
        harness = ServersSectionHarness(tmp_path)
        observer = harness.discovery_watcher.observer
        real_dispatch = harness.decisions.dispatch

        def recording_dispatch(event: api.Event) -> None:
            if isinstance(event, api.EndpointUpdate):
                dispatched.extend(event.endpoints)
            real_dispatch(event)

        monkeypatch.setattr(harness.decisions, "dispatch", recording_dispatch)
        for revision in range(20):
            full = snapshot(revision, True, *(member(name) for name in names))
            observer.on_update(full, api.EndpointUpdateKind.FULL)
            await asyncio.sleep(0.0005 * (revision % 4))  # somewhere in the merge
            drain = snapshot(revision, False, member(DRAINED, "shutdown_started"))
            observer.on_update(drain, api.EndpointUpdateKind.DELTA)
            drained_at = len(dispatched)
            assert DRAINED not in harness.ready()
            await harness.wait_until_ready(*remaining)
            later = dispatched[drained_at:]
            assert not [
                endpoint
                for endpoint in later
                if endpoint.name == DRAINED and endpoint.state == api.EndpointState.READY
            ]
        harness.section.close()

    (tmp_path / "s.json").write_bytes(sealed_document({"servers": endpoint_rows("s1")}))
    asyncio.run(check())
