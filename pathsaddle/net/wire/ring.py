"""The bytes of one direction of one connection, between the socket and the state machine."""

from __future__ import annotations

BASE = 2 * 1024


class Ring:
    """A ring buffer; it takes its memory at first use, grows for a long message and shrinks when empty.

    A thousand idle connections must not hold a thousand buffers of the longest message. Only `space` moves
    the end of what is kept: a read into it may be pending while the bytes before it are dropped.
    """

    __slots__ = ("_head", "_room", "_size")

    def __init__(self) -> None:
        self._room = bytearray()
        self._head = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def full(self) -> bool:
        return 0 < len(self._room) == self._size

    def space(self) -> memoryview:
        """The longest run of free bytes that can be read into at once."""
        if not self._room:
            self._room = bytearray(BASE)
        if not self._size:
            self._head = 0
        tail = self._head + self._size
        if tail >= len(self._room):
            return memoryview(self._room)[tail - len(self._room) : self._head]
        return memoryview(self._room)[tail:]

    def fill(self, count: int) -> None:
        self._size += count

    def data(self) -> memoryview:
        """The longest run of kept bytes that can be written or parsed at once."""
        return memoryview(self._room)[self._head : min(len(self._room), self._head + self._size)]

    def drop(self, count: int) -> None:
        self._size -= count
        self._head = (self._head + count) % len(self._room)

    def rest(self) -> None:
        """Empty and with no read pending: what messages took is given back."""
        if not self._size:
            self._room, self._head = bytearray(), 0

    def put(self, data: bytes) -> None:
        if len(data) > len(self._room) - self._size:
            self._grow(self._size + len(data))
        at = 0
        while at < len(data):
            space = self.space()
            count = min(len(space), len(data) - at)
            space[:count] = data[at : at + count]
            self.fill(count)
            at += count

    def _grow(self, least: int) -> None:
        room = bytearray(max(BASE, 1 << (least - 1).bit_length()))
        size, at = self._size, 0
        while self._size:
            part = self.data()
            room[at : at + len(part)] = part
            at += len(part)
            self._head = (self._head + len(part)) % len(self._room)
            self._size -= len(part)
        self._room, self._head, self._size = room, 0, size
