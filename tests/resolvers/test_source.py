"""The endpoint file followed where the file system notifies of nothing."""

import asyncio
from pathlib import Path

import pytest
from support.endpoint_files import endpoint_rows, sealed_document
from support.servers_section import ServersSectionHarness

from wheatstile.resolvers.file_watcher import FileWatcher


def test_change_without_notification_is_found_by_polling(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run_without_notifications(_: FileWatcher) -> None:
        await asyncio.Event().wait()

    async def check() -> None:
        harness = ServersSectionHarness(tmp_path)
        for generation, name in enumerate("abc", 1):
            document = {"servers": endpoint_rows(name), "generation": generation}
            (tmp_path / "s.json").write_bytes(sealed_document(document))
            await harness.wait_until_ready(name)
        harness.section.close()

    monkeypatch.setattr(FileWatcher, "run", run_without_notifications)
    asyncio.run(check())
