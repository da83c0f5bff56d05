"""The source of the endpoint file, without notifications from the file system."""

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


@pytest.mark.usefixtures("without_notifications")
def test_change_without_notification_is_found_by_polling(tmp_path: Path) -> None:
    async def check() -> None:
        async with running_servers_section(tmp_path) as harness:
            for generation, name in enumerate("abc", 1):
                document = {"servers": endpoint_rows(name), "generation": generation}
                (tmp_path / "s.json").write_bytes(sealed_document(document))
                await harness.wait_until_ready(name)

    asyncio.run(check())
