"""A lookup table in which each item has entries by its weight, and a generator that walks through it.

The table is pure data: which server is eligible is for the decisions to say.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from math import ceil
from typing import Generic, Protocol, TypeVar
from zlib import crc32


class TableItem(Protocol):
    """What the table needs of its items."""

    name_hash: int
    acceptance_ratio: float


Item = TypeVar("Item", bound=TableItem)


@dataclass(frozen=True, slots=True)
class _LinearCongruentialGenerator:
    factor: int
    step: int
    modulus: int
    low_bits: int  # are left out: they are the least random ones


_FOR_EQUAL_WEIGHTS = _LinearCongruentialGenerator(1103515245, 12345, 2**31, 8)
_FOR_UNEQUAL_WEIGHTS = _LinearCongruentialGenerator(6364136223846793005, 1442695040888963407, 2**64, 40)


class WeightedLookupTable(Generic[Item]):
    """Items in hashed places, so that every balancer finds the same ones from the same hash.

    An item has one entry for equal weights, else its weight over the mean rounded up, and passes on the share
    of the draws that this is too much (`acceptance_ratio`). There are fewer than two entries an item, in a
    table whose number of places is a power of two.
    """

    def __init__(self, items: Sequence[Item], weights: Sequence[float]) -> None:
        self.has_equal_weights = len(set(weights)) < 2  # noqa: PLR2004
        mean_weight = sum(weights) / max(len(weights), 1)
        counts = [1 if self.has_equal_weights else ceil(weight / mean_weight) for weight in weights]
        self._generator = _FOR_EQUAL_WEIGHTS if self.has_equal_weights else _FOR_UNEQUAL_WEIGHTS
        self._places: list[Item | None] = [None] * (4 << sum(counts).bit_length())
        for item, weight, count in zip(items, weights, counts, strict=True):
            item.acceptance_ratio = 1.0 if self.has_equal_weights else weight / (count * mean_weight)
            for entry in range(count):
                self._insert(item, entry)

    def _insert(self, item: Item, entry: int) -> None:
        mask = len(self._places) - 1
        index = (crc32(b"%d" % entry, item.name_hash) if entry else item.name_hash) & mask
        while self._places[index]:
            index = (index + 1) & mask
        self._places[index] = item

    def walk(self, seed: int, draws: int, is_passed_over: Callable[[Item], bool]) -> Iterator[Item]:
        """The items that this many draws meet, from this seed on.

        One that is passed over takes part in no draw for its acceptance ratio. The generator for equal
        weights (of 31 bits) favours some items by a few percent; that for unequal ones (of 64 bits, Knuth's
        MMIX) does not.
        """
        factor = self._generator.factor  # in local names: this loop is the module's busiest
        step = self._generator.step
        modulus = self._generator.modulus
        low_bits = self._generator.low_bits
        places = self._places
        value = seed
        for _ in range(draws):
            value = (value * factor + step) % modulus
            item = places[(value >> low_bits) % len(places)]
            if item is None or is_passed_over(item):
                continue
            if item.acceptance_ratio < 1:
                value = (value * factor + step) % modulus
                if value >= item.acceptance_ratio * modulus:
                    continue
            yield item
