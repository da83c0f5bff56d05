"""Tests for the source of the endpoint file: polling, and replacement at a reload."""

import asyncio
from pathlib import Path

import pytest
from support.endpoint_files import endpoint_rows, sealed_document
from support.servers_section import running_servers_section

from wheatstile.resolvers.file_watcher import FileWatcher


@pytest.fixture
def without_notifications(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replace the watcher with one that never reports a change."""

    async def run_without_notifications(_: FileWatcher) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(FileWatcher, "run", run_without_notifications)


def write_file(directory: Path, name: str, generation: int) -> None:
    """Write a sealed endpoint file with one server."""
    document = {"servers": endpoint_rows(name), "generation": generation}
    (directory / "s.json").write_bytes(sealed_document(document))


@pytest.mark.usefixtures("without_notifications")
def test_change_without_notification_is_detected_by_polling(tmp_path: Path) -> None:
    async def check() -> None:
        async with running_servers_section(tmp_path) as harness:
            for generation, name in enumerate("abc", 1):
                write_file(tmp_path, name, generation)
                await harness.wait_until_ready(name)

    asyncio.run(check())


def test_new_file_is_compared_with_the_active_file_after_a_reload(tmp_path: Path) -> None:
    """The source that is created by the reload rejects a file with an older generation."""

    async def check() -> None:
        async with running_servers_section(tmp_path) as harness:
            write_file(tmp_path, "a", generation=2)
            await harness.wait_until_ready("a")

            harness.apply_operator_file(recheck_s=0.2)
            write_file(tmp_path, "b", generation=1)

            await harness.wait_for_counter("endpoint_file_rejected")
            assert harness.ready() == {"a"}
            assert harness.decision_loop.counters["endpoint_file_accepted_file"] == 1

    asyncio.run(check())
