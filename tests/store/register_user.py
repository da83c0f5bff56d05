"""Client that reads and writes shared keys of the store, and records its operations for `linearizability`."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from math import inf

from linearizability import Kind, Operation

from wheatstile.store.client import StoreClient
from wheatstile.store.errors import OutcomeUnknownError

KINDS = (Kind.GET, Kind.PUT, Kind.SWAP)
MAX_PAUSE_S = 0.2

Histories = dict[str, list[Operation]]
"""The recorded operations of each key."""


class RegisterUser:
    """Reads, writes and swaps (compare-and-swap) the keys of `histories` in random order.

    Each value is written at most once. The caller closes `client`.
    """

    def __init__(self, client: StoreClient, number: int, seed: int, histories: Histories) -> None:
        self.client = client
        self.number = number
        self.rng = random.Random(f"{seed}:{number}")
        self.histories = histories

    async def run(self, stopped: asyncio.Event) -> None:
        """Execute random operations, with pauses between them, until `stopped` is set."""
        for operation_number in itertools.count():
            if stopped.is_set():
                return
            key = self.rng.choice(sorted(self.histories))
            kind = self.rng.choice(KINDS)
            value = f"{self.number}.{operation_number}"
            match kind:
                case Kind.GET:
                    await self.get(key)
                case Kind.PUT:
                    await self.put(key, value)
                case Kind.SWAP:
                    await self.swap(key, value)
            await asyncio.sleep(self.rng.random() * MAX_PAUSE_S)

    def record(
        self,
        key: str,
        kind: Kind,
        value: str | None,
        called_at: float,
        returned_at: float,
        expected: str | None = None,
        succeeded: bool = True,
    ) -> None:
        operation = Operation(kind, value, called_at, returned_at, expected, succeeded)
        self.histories[key].append(operation)

    async def get(self, key: str) -> None:
        called_at = time.monotonic()
        try:
            found = await self.client.get(key)
        except OutcomeUnknownError:
            self.record(key, Kind.GET, None, called_at, inf)
            return
        value = found.value.decode() if found else None
        self.record(key, Kind.GET, value, called_at, time.monotonic())

    async def put(self, key: str, value: str) -> None:
        called_at = time.monotonic()
        returned_at = inf
        try:
            await self.client.put(key, value.encode())
            returned_at = time.monotonic()
        except OutcomeUnknownError:
            pass
        self.record(key, Kind.PUT, value, called_at, returned_at)

    async def swap(self, key: str, value: str) -> None:
        """Read the key, and replace the value that was read. Record nothing if the read gets no reply."""
        called_at = time.monotonic()
        try:
            found = await self.client.get(key)
        except OutcomeUnknownError:
            return
        expected = found.value.decode() if found else None
        self.record(key, Kind.GET, expected, called_at, time.monotonic())
        called_at = time.monotonic()
        returned_at = inf
        succeeded = True
        try:
            result = await self.client.put(key, value.encode(), found.revision if found else 0)
            returned_at = time.monotonic()
            succeeded = result.ok
        except OutcomeUnknownError:
            pass
        self.record(key, Kind.SWAP, value, called_at, returned_at, expected, succeeded)
