"""Where the store's commits are made: a thread, or an emulated disk in virtual time.

A writer takes groups of writes with a future each and commits all that waits together, in order (group
commit). `Store` hands in the function that makes one commit. A writer never opens a database.
"""

from __future__ import annotations

import asyncio
import queue
import sqlite3
import threading
from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol, TypeAlias

from pathsaddle.jobs.errors import StoreFencedError
from pathsaddle.jobs.store_rows import StoreWrite

Commit: TypeAlias = Callable[[list[StoreWrite]], None]
CRASH_SURVIVAL_PROBABILITY = 0.5  # that a commit under way is whole on disk when its process is killed


class PendingWrites(NamedTuple):
    """Writes that wait for a commit, and the future of whoever waits for it."""

    writes: list[StoreWrite]
    done: asyncio.Future[None]


class StoreWriter(Protocol):
    """Makes the commits of one store."""

    def start(self, commit: Commit) -> None:
        """Begin with the function that makes one commit."""

    def put(self, writes: list[StoreWrite], done: asyncio.Future[None]) -> None:
        """Commit the writes after all that were put before; `done` is resolved in its event loop."""

    def stop(self) -> None:
        """Commit what waits and end."""


def resolve(done: asyncio.Future[None], error: BaseException | None) -> None:
    """Resolve a future with an error or without one, unless somebody has given it up."""
    if not done.done():
        if error is None:
            done.set_result(None)
        else:
            done.set_exception(error)
            done.exception()  # marks it as retrieved: a waiter that has given up does not ask for it


def commit_group(commit: Commit, group: list[PendingWrites]) -> list[BaseException | None]:
    """Make one commit of a whole group and return the error of each member, or None.

    Where one of them cannot stand (an id that is there already), each is committed alone, so that it fails
    alone.
    """
    try:
        commit([write for pending in group for write in pending.writes])
        return [None] * len(group)
    except sqlite3.IntegrityError as error:
        if len(group) == 1:
            return [error]
        return [commit_group(commit, [pending])[0] for pending in group]
    except (sqlite3.Error, OSError, StoreFencedError) as error:
        return [error] * len(group)


class ThreadWriter:
    """One thread that commits all that waits, again and again."""

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[PendingWrites | None] = queue.SimpleQueue()  # None: the end
        self._thread: threading.Thread | None = None

    def start(self, commit: Commit) -> None:
        """Start the thread."""
        self._thread = threading.Thread(target=self._run, args=(commit,), name="jobs", daemon=True)
        self._thread.start()

    def put(self, writes: list[StoreWrite], done: asyncio.Future[None]) -> None:
        """Hand the writes to the thread."""
        self._queue.put(PendingWrites(writes, done))

    def stop(self) -> None:
        """Wait until the thread has committed all that was put."""
        self._queue.put(None)
        if self._thread is not None:
            self._thread.join()

    def _run(self, commit: Commit) -> None:
        is_last = False
        while not is_last:
            entries = [self._queue.get()]
            while not self._queue.empty():
                entries.append(self._queue.get())
            is_last = None in entries
            group = [entry for entry in entries if entry is not None]
            if not group:
                continue
            errors = commit_group(commit, group)
            event_loop = group[0].done.get_loop()
            try:
                event_loop.call_soon_threadsafe(self._resolve_all, [entry.done for entry in group], errors)
            except RuntimeError:
                return  # the event loop has ended, and all who waited with it

    @staticmethod
    def _resolve_all(futures: list[asyncio.Future[None]], errors: list[BaseException | None]) -> None:
        for done, error in zip(futures, errors, strict=True):
            resolve(done, error)


class EmulatedDiskWriter:
    """A disk in virtual time: each sync takes its time, and a crash loses what was not synced.

    A commit that is under way when its process is killed is whole on disk or not there at all, as the seed
    draws.

    Attributes:
        event_loop: The virtual loop.
        rng: Draws the duration of syncs and the luck of a crash.
        sync_seconds: The mean duration of one sync.
        slow: Seconds that one sync takes longer for a while.
        ill: An error that each commit meets for a while.
        sync_count: Commits that were synced.
    """

    def __init__(self, event_loop: asyncio.AbstractEventLoop, rng: Random, sync_seconds: float) -> None:
        self.event_loop = event_loop
        self.rng = rng
        self.sync_seconds = sync_seconds
        self.slow = 0.0
        self.ill: Exception | None = None
        self.sync_count = 0
        self._waiting: list[PendingWrites] = []
        self._syncing: list[PendingWrites] = []
        self._commit: Commit = lambda writes: None

    def start(self, commit: Commit) -> None:
        """Keep the function that makes one commit."""
        self._commit = commit

    def put(self, writes: list[StoreWrite], done: asyncio.Future[None]) -> None:
        """Sync the writes at once, or with the next group where a sync is under way."""
        self._waiting.append(PendingWrites(writes, done))
        if not self._syncing:
            self._begin_sync()

    def crash(self) -> None:
        """Kill its process: the commit under way is whole on disk or not there at all, the rest is lost."""
        group, self._syncing, self._waiting = self._syncing, [], []
        if group and self.ill is None and self.rng.random() < CRASH_SURVIVAL_PROBABILITY:
            commit_group(self._commit, group)

    def stop(self) -> None:
        """Sync all that waits, without delay."""
        while self._syncing or self._waiting:
            self._end_sync()

    def _begin_sync(self) -> None:
        self._syncing, self._waiting = self._waiting, []
        if self._syncing:
            duration = self.slow + self.sync_seconds * (0.5 + self.rng.random())  # 0.5 to 1.5 times the mean
            self.event_loop.call_later(duration, self._end_sync)

    def _end_sync(self) -> None:
        group, self._syncing = self._syncing, []
        errors: list[BaseException | None] = [self.ill] * len(group)
        if self.ill is None:
            errors = commit_group(self._commit, group)
            self.sync_count += 1
        for pending, error in zip(group, errors, strict=True):
            resolve(pending.done, error)
        self._begin_sync()
