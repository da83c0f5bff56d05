"""The fault table of a running proxy. Tasks can wait for its changes."""

from __future__ import annotations

import asyncio

from wheatstile.fault_proxy.commands import Command
from wheatstile.fault_proxy.fault_table import FaultTable, LinkConditions, LinkPattern


class LiveFaults:
    """A fault table whose changes wake the tasks that wait for a link to be unblocked."""

    def __init__(self) -> None:
        self._table = FaultTable()
        self._changed = asyncio.Condition()

    async def apply(self, command: Command) -> LinkPattern | None:
        """Apply a command. Return the links whose connections have to be reset, or None."""
        links_to_reset = self._table.apply(command)
        async with self._changed:
            self._changed.notify_all()
        return links_to_reset

    def conditions(self, source: str, destination: str) -> LinkConditions:
        """Return the current conditions from `source` to `destination`."""
        return self._table.conditions(source, destination)

    async def wait_until_unblocked(self, source: str, destination: str) -> None:
        """Wait until no fault blocks the bytes from `source` to `destination`."""
        async with self._changed:
            await self._changed.wait_for(lambda: not self.conditions(source, destination).blocked)
