"""The fault table as the running streams see it: they wait on its changes."""

from __future__ import annotations

import asyncio

from wheatstile.fault_proxy.commands import Command
from wheatstile.fault_proxy.fault_table import FaultTable, LinkConditions, LinkPattern


class LiveFaults:
    """A fault table that wakes whoever waits for a link to be unblocked."""

    def __init__(self) -> None:
        self._table = FaultTable()
        self._changed = asyncio.Condition()

    async def apply(self, command: Command) -> LinkPattern | None:
        """Apply `command` and wake the waiting streams; the links to be reset now, if any."""
        reset = self._table.apply(command)
        async with self._changed:
            self._changed.notify_all()
        return reset

    def conditions(self, source: str, destination: str) -> LinkConditions:
        """Return the conditions from `source` to `destination` at this moment."""
        return self._table.conditions(source, destination)

    async def wait_until_unblocked(self, source: str, destination: str) -> None:
        """Return once no fault blocks the bytes from `source` to `destination`."""
        async with self._changed:
            await self._changed.wait_for(lambda: not self.conditions(source, destination).blocked)
