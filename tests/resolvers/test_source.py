"""The watched file where the file system tells nothing, and a list too long to merge on the loop."""

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from peers import PATIENCE
from test_document import rows, sealed
from world import settings

from wheatstile import interface as api
from wheatstile.config.endpoints import EndpointSnapshot
from wheatstile.config.operator import OperatorFile, parse
from wheatstile.config.platform import ServerLimits
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.discovery_watcher import DiscoveryOnlyObserver, DiscoveryWatcher
from wheatstile.net.upstream_pool import UpstreamPool
from wheatstile.resolvers import combined
from wheatstile.resolvers.notices import Notices
from wheatstile.resolvers.section import ServersSection


class Parts:
    """A core with the section on, and no sockets."""

    def __init__(self, folder: Path) -> None:
        self.decisions = DecisionLoop(settings(), 1)
        self.upstreams = UpstreamPool(self.decisions, ServerLimits(1.0, 1.0, False, 0.0, 100))
        self.discovery_watcher = DiscoveryWatcher(
            self.decisions, DiscoveryOnlyObserver(self.decisions, self.upstreams), ("127.0.0.1", 1)
        )
        self.decisions.start(self.upstreams, self.discovery_watcher)
        self.section = ServersSection(self.decisions, self.upstreams, self.discovery_watcher)
        told = {"file": "s.json", "mode": "merge", "recheck_s": 0.1, "most_removed": 1.0}
        self.section.follow(OperatorFile(folder / "op", parse("op", json.dumps({"servers": told}).encode())))

    def ready(self) -> set[str]:
        return {server.endpoint.name for server in self.decisions.balancer.state.ready}

    async def until(self, *names: str) -> None:
        async with asyncio.timeout(PATIENCE):
            while self.ready() != set(names):
                await asyncio.sleep(0.01)


def test_a_change_that_no_notice_tells_of_is_found_in_turn(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def silent(_: Notices) -> None:
        await asyncio.Event().wait()

    async def check() -> None:
        parts = Parts(tmp_path)
        for generation, name in enumerate("abc", 1):
            (tmp_path / "s.json").write_bytes(sealed({"servers": rows(name), "generation": generation}))
            await parts.until(name)
        parts.section.close()

    monkeypatch.setattr(Notices, "run", silent)
    asyncio.run(check())


def member(name: str, phase: str = "ready") -> dict[str, Any]:
    return {"id": name, "host_port": "127.0.0.1:1", "phase": phase}


def test_a_drain_told_while_a_long_list_is_merged_holds_from_that_instant(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The merge in the thread began before the drain, and must not bring the server back."""
    monkeypatch.setattr(combined, "AT_ONCE", 0)  # every list counts as long
    sent: list[api.Endpoint] = []

    async def check() -> None:
        parts = Parts(tmp_path)
        observer = parts.discovery_watcher.observer
        tell = parts.decisions.dispatch

        def listen(event: api.Event) -> None:
            sent.extend(event.endpoints if isinstance(event, api.EndpointUpdate) else [])
            tell(event)

        monkeypatch.setattr(parts.decisions, "dispatch", listen)
        for round in range(20):
            names = [f"s{number}" for number in range(50)]
            full = {"revision": round, "complete": True, "members": [member(name) for name in names]}
            observer.on_update(EndpointSnapshot.read(full), api.EndpointUpdateKind.FULL)
            await asyncio.sleep(0.0005 * (round % 4))  # somewhere in the merge
            gone = {"revision": round, "complete": False, "members": [member("s7", "draining")]}
            observer.on_update(EndpointSnapshot.read(gone), api.EndpointUpdateKind.DELTA)
            begin = len(sent)
            assert "s7" not in parts.ready()
            await parts.until(*(name for name in names if name != "s7"))
            assert not [
                one for one in sent[begin:] if one.name == "s7" and one.state == api.EndpointState.READY
            ]
        parts.section.close()

    (tmp_path / "s.json").write_bytes(sealed({"servers": rows("s1")}))
    asyncio.run(check())
