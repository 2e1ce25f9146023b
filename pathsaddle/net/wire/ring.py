"""A ring buffer for one direction of one connection, between the socket and the HTTP state machine."""

from __future__ import annotations

INITIAL_BYTES = 2 * 1024


class Ring:
    """A ring buffer that allocates at first use, grows for a long message and frees its memory when empty.

    Otherwise a thousand idle connections would hold a thousand buffers of the longest message. `drop` leaves
    the write position in place, and `space` alone resets it in an empty buffer: a read into the free bytes
    may be pending while the bytes before them are dropped.
    """

    __slots__ = ("_buffer", "_head", "_size")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._head = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Whether the allocated buffer has no free byte."""
        return 0 < len(self._buffer) == self._size

    def free_space(self) -> memoryview:
        """Return the longest contiguous run of free bytes, for one read."""
        if not self._buffer:
            self._buffer = bytearray(INITIAL_BYTES)
        if not self._size:
            self._head = 0
        tail = self._head + self._size
        if tail >= len(self._buffer):
            return memoryview(self._buffer)[tail - len(self._buffer) : self._head]
        return memoryview(self._buffer)[tail:]

    def fill(self, count: int) -> None:
        """Mark the first `count` bytes of `space` as written."""
        self._size += count

    def data(self) -> memoryview:
        """Return the longest contiguous run of buffered bytes, for one write or one call of the parser."""
        return memoryview(self._buffer)[self._head : min(len(self._buffer), self._head + self._size)]

    def drop(self, count: int) -> None:
        """Discard the first `count` buffered bytes."""
        self._size -= count
        self._head = (self._head + count) % len(self._buffer)

    def release_if_empty(self) -> None:
        """Free the memory if the buffer is empty; no read into `space` may be pending."""
        if not self._size:
            self._buffer, self._head = bytearray(), 0

    def put(self, data: bytes) -> None:
        """Append `data`, and enlarge the buffer if it does not fit."""
        if len(data) > len(self._buffer) - self._size:
            self._grow(self._size + len(data))
        start = 0
        while start < len(data):
            space = self.free_space()
            count = min(len(space), len(data) - start)
            space[:count] = data[start : start + count]
            self.fill(count)
            start += count

    def _grow(self, min_bytes: int) -> None:
        buffer = bytearray(max(INITIAL_BYTES, 1 << (min_bytes - 1).bit_length()))
        size, end = self._size, 0
        while self._size:
            part = self.data()
            buffer[end : end + len(part)] = part
            end += len(part)
            self._head = (self._head + len(part)) % len(self._buffer)
            self._size -= len(part)
        self._buffer, self._head, self._size = buffer, 0, size
