"""Which connections to workers there are: idle, resting, in use, coming up; and who waits for one.

It knows no socket: a link is whatever the driver puts here. Of those that have rested the last one put back is
the first one taken, so that what traffic does not need grows old and is let go before the worker's idle limit.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar


class Kept(Protocol):
    idle_since: int  # when the answer to the last call on it was read
    rests: bool  # a second answer to that call could pass for the next call's
    ended: bool

    @property
    def sound(self) -> bool:
        """It stands, and nothing has been read from it that was no answer to its call."""

    @property
    def usable(self) -> bool:
        """It is sound, and nothing lies on it unread: an end, or bytes that would pass for the next call's answer."""

    def end(self, code: str) -> None: ...


L = TypeVar("L", bound=Kept)


@dataclass(slots=True, eq=False)
class WorkerPool(Generic[L]):
    """One worker's connections. What comes and goes here is counted where it does, in `links` too."""

    links: Links[L]
    # Apart, and each in the order of `idle_since`: a fast worker's resting ones are most of its connections,
    # and who wants one that has rested must not go through them all.
    rested: list[L] = field(default_factory=list)
    resting: deque[L] = field(default_factory=deque)
    _used: int = 0
    waiters: deque[asyncio.Future[None]] = field(default_factory=deque)

    @property
    def used(self) -> int:
        """In use or coming up."""
        return self._used

    @used.setter
    def used(self, used: int) -> None:
        self.links.count += used - self._used
        self._used = used

    @property
    def idle(self) -> list[L]:
        """All that no call is out on, about the longest idle first."""
        return [*self.rested, *self.resting]

    @property
    def count(self) -> int:
        return self.used + len(self.rested) + len(self.resting)

    def oldest(self) -> L | None:
        """The one that has been idle for about the longest, no more among them."""
        if not self.rested and not self.resting:
            return None
        self.links.count -= 1
        return self.rested.pop(0) if self.rested else self.resting.popleft()


class Links(Generic[L]):
    def __init__(self, most: int, keep_for: int, rest: int = 0) -> None:
        self.most = most  # over all workers: the rest of our descriptors belongs to clients
        self.keep_for = keep_for
        self.rest = rest  # after an answer: in which a second one to the same call may still come
        self.pools: dict[str, WorkerPool[L]] = {}
        # All pools' together. Asked several times an accept: as a sum over 1,900 pools it took 190 us.
        self.count = 0

    def pool(self, worker: str) -> WorkerPool[L]:
        pool = self.pools.get(worker)
        if pool is None:
            pool = self.pools[worker] = WorkerPool(self)
        return pool

    def most_each(self) -> int:
        """An even part each, so that one silent worker's connections leave room for all others'."""
        return max(2, self.most // max(1, len(self.pools)))

    def take(self, pool: WorkerPool[L], now: int) -> L | None:
        """An idle link that the worker will not have closed by the time our bytes are there, and on which no more
        can come that is not the next call's.
        """
        resting, rested = pool.resting, pool.rested
        while resting and (now - resting[0].idle_since >= self.rest or resting[0].ended):
            rested.append(resting.popleft())
        while rested:
            link = rested.pop()
            self.count -= 1
            if link.usable and now - link.idle_since < self.keep_for:
                pool.used += 1
                return link
            link.end("idle" if now - link.idle_since >= self.keep_for else "worker-stirred")
        return None

    def gives_up_resting(self, pool: WorkerPool[L]) -> bool:
        """At the worker's cap: a new connection comes up sooner than one has rested. False where none rests."""
        link = pool.oldest()
        if link is None:
            return False
        link.end("resting")
        return True

    def may_open(self, pool: WorkerPool[L]) -> bool:
        if pool.count >= self.most_each():
            return False
        if self.count >= self.most:
            self.let_go_oldest()
        # The first to a worker may always come up: others' silence must not shut it out.
        return self.count < self.most or not pool.count

    def put_back(self, pool: WorkerPool[L], link: L, now: int) -> None:
        """What lies unread on it by now is its reader's; it is looked for when the link is taken, and not twice."""
        if link.sound:
            link.idle_since = now
            self.count += 1
            if link.rests:
                pool.resting.append(link)
            else:
                pool.rested.append(link)
        else:
            link.end("worker-stirred")
        self.release(pool)

    def release(self, pool: WorkerPool[L]) -> None:
        """A link is not in use any more, or one that was to come up never has."""
        pool.used -= 1
        self._next(pool)

    def sweep(self, now: int) -> None:
        for pool in self.pools.values():
            for link in pool.idle:
                if now - link.idle_since >= self.keep_for:
                    link.end("idle")
            before = pool.count
            pool.rested = [link for link in pool.rested if not link.ended]
            pool.resting = deque(link for link in pool.resting if not link.ended)
            self.count -= before - pool.count

    def drop_idle(self, worker: str, code: str) -> None:
        pool = self.pools.get(worker)
        while pool is not None and (link := pool.oldest()) is not None:
            link.end(code)

    def forget(self, worker: str) -> None:
        """Nothing new goes there: the worker no longer counts among those that connections are shared by."""
        self.drop_idle(worker, "worker-gone")
        pool = self.pools.get(worker)
        if pool is not None and not pool.used and not pool.waiters:
            del self.pools[worker]

    async def turn(self, pool: WorkerPool[L]) -> None:
        """Until a link of the pool has come free; the one that is woken and gives up wakes the next."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        pool.waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._next(pool)
            raise

    def _next(self, pool: WorkerPool[L]) -> None:
        while pool.waiters:
            waiter = pool.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def let_go_oldest(self) -> None:
        pool = min(
            (pool for pool in self.pools.values() if pool.rested or pool.resting),
            key=lambda pool: (pool.rested or pool.resting)[0].idle_since,
            default=None,
        )
        link = pool.oldest() if pool is not None else None
        if link is not None:
            link.end("room")
