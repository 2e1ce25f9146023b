"""The pools of kept connections to workers: idle, cooling down or in use, and the calls that wait for one.

The pools know no socket: a link is whatever the driver puts here. Of the idle links that have cooled down the
one put back last is taken first, so that links beyond the need of the traffic age and are closed before the
worker's idle timeout.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar


class PooledLink(Protocol):
    """A connection to a worker, as its pool sees it."""

    idle_since: int  # when the answer to the last call on it was read
    needs_cooldown: bool  # whether a second answer to that call could be taken for the next call's answer
    has_ended: bool

    @property
    def is_sound(self) -> bool:
        """Whether the connection is open and every answer read from it belonged to its call."""

    @property
    def is_usable(self) -> bool:
        """Whether the link is sound and has nothing unread, neither an EOF nor bytes that answer no call."""

    def end(self, code: str) -> None:
        """Close the connection, with the reason code to log and count."""
        ...


L = TypeVar("L", bound=PooledLink)


@dataclass(slots=True, eq=False)
class WorkerPool(Generic[L]):
    """The connections to one worker; a change of their number updates the total in `links` too."""

    links: Links[L]
    # Two lists, each in the order of `idle_since`: most idle links of a fast worker are still cooling down,
    # and a search for a ready link must not pass over all of them.
    ready: list[L] = field(default_factory=list)
    cooling: deque[L] = field(default_factory=deque)
    _used: int = 0
    waiters: deque[asyncio.Future[None]] = field(default_factory=deque)

    @property
    def used_count(self) -> int:
        """The number of links that are in use or being connected."""
        return self._used

    @used_count.setter
    def used_count(self, used: int) -> None:
        """Set the number, and update the total of all pools by the change."""
        self.links.count += used - self._used
        self._used = used

    @property
    def idle_links(self) -> list[L]:
        """All links without a call in flight, roughly from the longest idle to the latest."""
        return [*self.ready, *self.cooling]

    @property
    def count(self) -> int:
        """The number of links, in use, being connected or idle."""
        return self.used_count + len(self.ready) + len(self.cooling)

    def pop_oldest(self) -> L | None:
        """Remove and return a link that has been idle for about the longest, or None if none is idle."""
        if not self.ready and not self.cooling:
            return None
        self.links.count -= 1
        return self.ready.pop(0) if self.ready else self.cooling.popleft()


class Links(Generic[L]):
    """The pools of all workers, and the limits on their connections."""

    def __init__(self, most: int, idle_timeout: int, cooldown: int = 0) -> None:
        """Create no pool yet.

        Args:
            most: The limit on links to all workers; the other descriptors are left to clients.
            idle_timeout: The ticks for which an idle link is kept.
            cooldown: The ticks after an answer in which a second answer to the same call may still arrive.
        """
        self.max_links = most
        self.idle_timeout = idle_timeout
        self.cooldown = cooldown
        self.pools: dict[str, WorkerPool[L]] = {}
        # The total over all pools. Each accept reads it several times; a sum over 1,900 pools takes 190 us.
        self.count = 0

    def pool(self, worker: str) -> WorkerPool[L]:
        """Return the worker's pool, and create it if there is none."""
        pool = self.pools.get(worker)
        if pool is None:
            pool = self.pools[worker] = WorkerPool(self)
        return pool

    def max_per_worker(self) -> int:
        """Return each worker's equal share of the limit: one silent worker must leave links to the others."""
        return max(2, self.max_links // max(1, len(self.pools)))

    def acquire(self, pool: WorkerPool[L], now: int, for_query: bool = False) -> L | None:
        """Return an idle link that is safe for the next call, or None if there is none.

        The worker will not close it before the call's bytes arrive, and a late answer to an earlier call can
        no longer arrive on it.

        Args:
            pool: The worker's pool.
            now: The current time, in ticks.
            for_query: Whether a late answer to a probe would be taken for the call's own, too.
        """
        cooling, ready = pool.cooling, pool.ready
        while cooling and (now - cooling[0].idle_since >= self.cooldown or cooling[0].has_ended):
            ready.append(cooling.popleft())
        used_lately: list[L] = []
        found = None
        while ready and found is None:
            link = ready.pop()
            if for_query and not link.has_ended and now - link.idle_since < self.cooldown:
                used_lately.append(link)
                continue
            self.count -= 1
            if link.is_usable and now - link.idle_since < self.idle_timeout:
                pool.used_count += 1
                found = link
            else:
                link.end("idle" if now - link.idle_since >= self.idle_timeout else "worker-stirred")
        ready.extend(reversed(used_lately))
        return found

    def close_cooling(self, pool: WorkerPool[L]) -> bool:
        """Close the pool's oldest idle link to make room for a new one; return False if none is idle.

        Called at the worker's limit while every idle link is cooling down: connecting anew is faster than
        waiting.
        """
        link = pool.pop_oldest()
        if link is None:
            return False
        link.end("resting")
        return True

    def try_make_room(self, pool: WorkerPool[L]) -> bool:
        """Return whether the limits allow one more link to the worker; may close the oldest idle link."""
        if pool.count >= self.max_per_worker():
            return False
        if self.count >= self.max_links:
            self.close_oldest()
        # A worker without any link may always get one: silent workers must not lock it out.
        return self.count < self.max_links or not pool.count

    def put_back(self, pool: WorkerPool[L], link: L, now: int) -> None:
        """Return a link to its pool after a call, or close it if it is no longer sound.

        Bytes that are unread by now are left to the link's reader. This method does not check for them:
        `acquire` does so before the next call, and one check is enough.
        """
        if link.is_sound:
            link.idle_since = now
            self.count += 1
            if link.needs_cooldown:
                pool.cooling.append(link)
            else:
                pool.ready.append(link)
        else:
            link.end("worker-stirred")
        self.release_slot(pool)

    def release_slot(self, pool: WorkerPool[L]) -> None:
        """Free the slot of a link that is no longer in use or that failed to connect."""
        pool.used_count -= 1
        self._wake_next(pool)

    def close_expired(self, now: int) -> None:
        """Close the links that have been idle for too long, and remove those that have ended."""
        for pool in self.pools.values():
            for link in pool.idle_links:
                if now - link.idle_since >= self.idle_timeout:
                    link.end("idle")
            before = pool.count
            pool.ready = [link for link in pool.ready if not link.has_ended]
            pool.cooling = deque(link for link in pool.cooling if not link.has_ended)
            self.count -= before - pool.count

    def close_idle(self, worker: str, code: str) -> None:
        """Close all idle links to the worker, with the reason code to log and count."""
        pool = self.pools.get(worker)
        while pool is not None and (link := pool.pop_oldest()) is not None:
            link.end(code)

    def remove_worker(self, worker: str) -> None:
        """Close the idle links to a worker that gets no more calls, and release its share of the limit.

        The pool, and with it the share, stays while links are in use or calls wait for one.
        """
        self.close_idle(worker, "worker-gone")
        pool = self.pools.get(worker)
        if pool is not None and not pool.used_count and not pool.waiters:
            del self.pools[worker]

    async def wait_for_link(self, pool: WorkerPool[L]) -> None:
        """Wait until a slot of the pool is released; the caller must then try again to get a link.

        A waiter that is cancelled after it was woken wakes the next one, so that no wake-up is lost.
        """
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        pool.waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._wake_next(pool)
            raise

    def _wake_next(self, pool: WorkerPool[L]) -> None:
        while pool.waiters:
            waiter = pool.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def close_oldest(self) -> None:
        """Close the link that has been idle for about the longest over all pools, if any link is idle."""
        pool = min(
            (pool for pool in self.pools.values() if pool.ready or pool.cooling),
            key=lambda pool: (pool.ready or pool.cooling)[0].idle_since,
            default=None,
        )
        link = pool.pop_oldest() if pool is not None else None
        if link is not None:
            link.end("room")
