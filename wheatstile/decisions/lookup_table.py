"""A lookup table with entries in proportion to weights, and the random generator that draws from it."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from math import ceil
from typing import Generic, Protocol, TypeVar
from zlib import crc32


class TableItem(Protocol):
    """The attributes that an item of the table must have."""

    name_hash: int


Item = TypeVar("Item", bound=TableItem)


@dataclass(frozen=True, slots=True)
class _LinearCongruentialGenerator:
    multiplier: int
    increment: int
    modulus: int
    discarded_bits: int  # number of lowest bits to discard, since they are the least random


_EQUAL_WEIGHTS_GENERATOR = _LinearCongruentialGenerator(1103515245, 12345, 2**31, 8)
_UNEQUAL_WEIGHTS_GENERATOR = _LinearCongruentialGenerator(6364136223846793005, 1442695040888963407, 2**64, 40)


class WeightedLookupTable(Generic[Item]):
    """A hash table of items, from which every balancer draws the same items with the same seed.

    An item has one entry if all weights are equal. Otherwise its number of entries is its weight divided by
    the mean weight, rounded up, and its acceptance ratio compensates for the rounding. The number of slots is
    a power of two, and at least four times the number of entries.
    """

    def __init__(self, items: Sequence[Item], weights: Sequence[float]) -> None:
        self.has_equal_weights = len(set(weights)) < 2  # noqa: PLR2004
        mean_weight = sum(weights) / max(len(weights), 1)
        counts = [1 if self.has_equal_weights else ceil(weight / mean_weight) for weight in weights]
        self._generator = _EQUAL_WEIGHTS_GENERATOR if self.has_equal_weights else _UNEQUAL_WEIGHTS_GENERATOR
        slot_count = 4 << sum(counts).bit_length()
        self._slots: list[Item | None] = [None] * slot_count
        self._acceptance_ratios = [1.0] * slot_count  # fraction of the draws of a slot that its item accepts
        for item, weight, count in zip(items, weights, counts, strict=True):
            acceptance_ratio = 1.0 if self.has_equal_weights else weight / (count * mean_weight)
            for entry in range(count):
                self._insert(item, entry, acceptance_ratio)

    def _insert(self, item: Item, entry: int, acceptance_ratio: float) -> None:
        mask = len(self._slots) - 1
        index = (crc32(b"%d" % entry, item.name_hash) if entry else item.name_hash) & mask
        while self._slots[index]:
            index = (index + 1) & mask
        self._slots[index] = item
        self._acceptance_ratios[index] = acceptance_ratio

    def draw(self, seed: int, draw_count: int, is_skipped: Callable[[Item], bool]) -> Iterator[Item]:
        """Yield the items of this number of draws, except items that are skipped or do not accept the draw.

        No random number is used for the acceptance ratio of a skipped item. The generator for equal weights
        (31 bits) draws some items a few percent too often; the one for unequal weights (64 bits, Knuth's
        MMIX) does not.
        """
        multiplier = self._generator.multiplier  # local variables are faster, and this loop runs most often
        increment = self._generator.increment
        modulus = self._generator.modulus
        discarded_bits = self._generator.discarded_bits
        slots = self._slots
        acceptance_ratios = self._acceptance_ratios
        value = seed
        for _ in range(draw_count):
            value = (value * multiplier + increment) % modulus
            index = (value >> discarded_bits) % len(slots)
            item = slots[index]
            if item is None or is_skipped(item):
                continue
            acceptance_ratio = acceptance_ratios[index]
            if acceptance_ratio < 1:
                value = (value * multiplier + increment) % modulus
                if value >= acceptance_ratio * modulus:
                    continue
            yield item
