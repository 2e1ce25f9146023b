"""The ids of closed txns, known for as long as a repeat may come, in bounded memory.

Digests of the ids stand in tables, one generation after another. The memory bounds how many there are; time
decides which may be forgotten: a generation is dropped only once none of its ids is needed any more. Where
all of the memory is taken by ids that are needed, `has_room` says so, and new requests have to be refused.
"""

from __future__ import annotations

from array import array
from collections import deque
from hashlib import blake2b

DIGEST_SIZE_BYTES = 8
FIRST_GENERATION_SLOTS = 4096
GENERATIONS = 8  # of equal size within the memory, so that an eighth of the ids is forgotten at a time
SLOTS_PER_ID = 2  # a fuller table needs more steps a look-up
DEFAULT_MAX_BYTES = 1 << 20


def _digest(tag: str) -> int:
    """Return the digest of an id; 0, which marks an empty slot, is none."""
    return int.from_bytes(blake2b(tag.encode(), digest_size=DIGEST_SIZE_BYTES).digest(), "big") or 1


class Generation:
    """A hash table of digests, with open addressing and a fixed size.

    Attributes:
        needed_until: When the last of its ids may be forgotten, in ticks.
    """

    def __init__(self, slots: int) -> None:
        """Make an empty table; `slots` is a power of two."""
        self._slots = array("Q", bytes(DIGEST_SIZE_BYTES * slots))
        self._mask = slots - 1
        self._count = 0
        self.needed_until = 0

    @property
    def size_bytes(self) -> int:
        """The memory of the table."""
        return DIGEST_SIZE_BYTES * len(self._slots)

    @property
    def free_count(self) -> int:
        """How many more ids it takes."""
        return len(self._slots) // SLOTS_PER_ID - self._count

    def __contains__(self, digest: int) -> bool:
        return self._slots[self._find(digest)] == digest

    def add(self, digest: int, needed_until: int) -> None:
        """Add a digest; the table must not be full."""
        index = self._find(digest)
        self._count += self._slots[index] == 0
        self._slots[index] = digest
        self.needed_until = max(self.needed_until, needed_until)

    def _find(self, digest: int) -> int:
        """Return the slot of the digest, or the empty one where it belongs."""
        index = digest & self._mask
        while self._slots[index] not in (0, digest):
            index = (index + 1) & self._mask
        return index


class ClosedIds:
    """Which ids were closed; it forgets none that is needed.

    Attributes:
        max_bytes: The memory for them; more is taken only for ids that were open when it was full.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self._generations = deque([Generation(FIRST_GENERATION_SLOTS)])

    def __contains__(self, tag: str) -> bool:
        digest = _digest(tag)
        return any(digest in generation for generation in self._generations)

    @property
    def size_bytes(self) -> int:
        """The memory of all tables."""
        return sum(generation.size_bytes for generation in self._generations)

    def add(self, tag: str, needed_until: int, now: int) -> None:
        """Remember an id.

        Args:
            tag: The id.
            needed_until: Until when it must not be forgotten, in ticks.
            now: The time, in ticks.
        """
        if not self._generations[-1].free_count:
            self._drop_surplus(now, self._next_size_bytes)
            self._generations.append(Generation(self._next_size_bytes // DIGEST_SIZE_BYTES))
        self._generations[-1].add(_digest(tag), needed_until)

    def has_room(self, open_count: int, now: int) -> bool:
        """Return whether the ids of so many open txns and of one more can be remembered."""
        if self._generations[-1].free_count > open_count:
            return True
        self._drop_surplus(now, self._next_size_bytes)
        room = self.max_bytes - self.size_bytes
        return self._generations[-1].free_count + room // (DIGEST_SIZE_BYTES * SLOTS_PER_ID) > open_count

    @property
    def _next_size_bytes(self) -> int:
        """The size of the next table: twice the last one, up to its part of the memory."""
        first = DIGEST_SIZE_BYTES * FIRST_GENERATION_SLOTS
        part = self.max_bytes // GENERATIONS
        most = max(first, 1 << (part.bit_length() - 1) if part else 0)
        return min(2 * self._generations[-1].size_bytes, most)

    def _drop_surplus(self, now: int, wanted_bytes: int) -> None:
        """Drop the oldest generations whose ids are not needed, until there is room for one more."""
        while (
            len(self._generations) > 1
            and self.size_bytes + wanted_bytes > self.max_bytes
            and self._generations[0].needed_until <= now
        ):
            self._generations.popleft()
