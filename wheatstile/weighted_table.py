"""A lookup table in which each server has entries by its weight, and a generator that walks through it.

The table is pure data: which server is eligible is for the decision module to say.
"""

from collections.abc import Callable, Iterator
from math import ceil
from zlib import crc32

from wheatstile.state import Server

# Factor, step, modulus and the number of low bits that are left out.
_EQUAL_GENERATOR = (1103515245, 12345, 2**31, 8)
_UNEQUAL_GENERATOR = (6364136223846793005, 1442695040888963407, 2**64, 40)


class WeightedLookupTable:
    """Servers in hashed places, so that every balancer finds the same ones from the same hash.

    A server has one entry for equal weights, else its weight over the mean rounded up; a draw that meets it
    more often than by its weight passes on (`acceptance_ratio`). There are fewer than two entries a server,
    in a table with a power of two of places.
    """

    def __init__(self, servers: list[Server]) -> None:
        weights = [server.endpoint.weight for server in servers]
        self.has_equal_weights = len(set(weights)) < 2
        mean_weight = sum(weights) / max(len(weights), 1)
        counts = [1 if self.has_equal_weights else ceil(weight / mean_weight) for weight in weights]
        self.places: list[Server | None] = [None] * (4 << sum(counts).bit_length())
        for server, weight, count in zip(servers, weights, counts, strict=True):
            server.acceptance_ratio = 1.0 if self.has_equal_weights else weight / (count * mean_weight)
            for entry in range(count):
                self._insert(server, entry)

    def _insert(self, server: Server, entry: int) -> None:
        mask = len(self.places) - 1
        place = (crc32(b"%d" % entry, server.hash) if entry else server.hash) & mask
        while self.places[place]:
            place = (place + 1) & mask
        self.places[place] = server

    def walk(self, seed: int, draws: int, is_passed_over: Callable[[Server], bool]) -> Iterator[Server]:
        """The servers that this many draws from a linear congruential generator meet, from this seed on.

        One that is passed over takes part in no draw for its acceptance ratio. The generator for equal
        weights (of 31 bits) favours some servers by a few percent; that for unequal ones (of 64 bits, Knuth's
        MMIX) does not.
        """
        factor, step, modulus, low_bits = _EQUAL_GENERATOR if self.has_equal_weights else _UNEQUAL_GENERATOR
        value = seed
        for _ in range(draws):
            value = (value * factor + step) % modulus
            server = self.places[(value >> low_bits) % len(self.places)]
            if server is None or is_passed_over(server):
                continue
            if server.acceptance_ratio < 1:
                value = (value * factor + step) % modulus
                if value >= server.acceptance_ratio * modulus:
                    continue
            yield server
