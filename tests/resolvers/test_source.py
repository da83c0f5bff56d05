"""The source of the endpoint file: polling, and its replacement at a reload."""

import asyncio
from pathlib import Path

import pytest
from support.endpoint_files import endpoint_rows, sealed_document
from support.servers_section import running_servers_section

from wheatstile.resolvers.file_watcher import FileWatcher


@pytest.fixture
def without_notifications(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replace the watcher by one that never reports a change."""

    async def run_without_notifications(_: FileWatcher) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(FileWatcher, "run", run_without_notifications)


def write_file(folder: Path, name: str, generation: int) -> None:
    """Write a sealed endpoint file of one server."""
    document = {"servers": endpoint_rows(name), "generation": generation}
    (folder / "s.json").write_bytes(sealed_document(document))


@pytest.mark.usefixtures("without_notifications")
def test_change_without_notification_is_found_by_polling(tmp_path: Path) -> None:
    async def check() -> None:
        async with running_servers_section(tmp_path) as harness:
            for generation, name in enumerate("abc", 1):
                write_file(tmp_path, name, generation)
                await harness.wait_until_ready(name)

    asyncio.run(check())


def test_file_in_force_stays_the_reference_after_a_reload(tmp_path: Path) -> None:
    """A file of an older generation is rejected by the source that replaces the first one."""

    async def check() -> None:
        async with running_servers_section(tmp_path) as harness:
            write_file(tmp_path, "a", generation=2)
            await harness.wait_until_ready("a")

            harness.follow(recheck_s=0.2)
            write_file(tmp_path, "b", generation=1)

            await harness.wait_for_counter("endpoint_file_rejected")
            assert harness.ready() == {"a"}
            assert harness.decisions.counters["endpoint_file_accepted_file"] == 1

    asyncio.run(check())
