"""The sockets that a dispatcher holds at once, those that are being closed among them, stay within its limit."""

import asyncio
import socket
from typing import Any
from unittest import mock

from pathsaddle.net.service import front as front_module
from pathsaddle.net.service.pump import stream
from pathsaddle.net.service.start import SPARE_DESCRIPTORS
from pathsaddle.net.service.workers import RequestNotSentError
from pathsaddle.net.wire.terms import Peer
from pathsaddle.scheduler_types import MILLISECOND, SECOND
from tests.test_clients import READY, Clients, Hooked

LIMIT = 60  # descriptors for clients and links to workers
LINKS = 15  # of them for links


class TrackedSocket(Hooked):
    """A socket that counts how many of its kind have a descriptor."""

    __slots__ = ()
    open_count = most_open = 0

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        TrackedSocket.open_count += 1
        TrackedSocket.most_open = max(TrackedSocket.most_open, TrackedSocket.open_count)

    def close(self) -> None:
        if self.fileno() >= 0:
            TrackedSocket.open_count -= 1
        super().close()


def tracked_stream(address: str) -> tuple[TrackedSocket, Peer]:
    sock, peer = stream(address)
    tracked = TrackedSocket(sock.family, sock.type, sock.proto, fileno=sock.detach())
    tracked.setblocking(False)
    return tracked, peer


class DescriptorLimitTest(Clients):
    """Guards against a process that held more descriptors than its limit for an event loop iteration.

    Each new link to a worker evicted a client or another link, whose descriptor is returned one iteration later.
    Many that were opened in one iteration were together more than the reserve for that.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        TrackedSocket.open_count = TrackedSocket.most_open = 0
        patch = mock.patch.object(
            front_module,
            "to_counting_socket",
            lambda sock: TrackedSocket(sock.family, sock.type, sock.proto, fileno=sock.detach()),
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.workers.open_socket = tracked_stream
        self.workers.free_descriptor = self.front.ensure_free_descriptor
        self.front.descriptor_limit, self.workers.links.max_links = LIMIT, LINKS
        self.workers.connect_timeout = 10 * SECOND
        self.tasks: list[asyncio.Task[Any]] = []

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def call_all(self, names: list[str]) -> None:
        """Start a call to each worker in one event loop iteration; no worker answers."""
        for name in names:
            self.workers.set_address(name, self.address)
            self.tasks.append(asyncio.create_task(self.workers.call(name, "POST", b"/render", [], b"x")))

    async def idle_client(self) -> None:
        sock, _ = await self.client(READY)
        self.assertIn(b" 200 ", await self.read_answer(sock))

    async def test_first_links_to_many_workers_at_once_stay_within_the_limit(self) -> None:
        for _ in range(LIMIT - LINKS):
            await self.idle_client()
        names = [f"w{number}" for number in range(LIMIT - 5)]
        self.call_all(names)
        await self.until(lambda: self.counters["connect.made"] == len(names))
        self.assertLessEqual(TrackedSocket.most_open, LIMIT + SPARE_DESCRIPTORS)

    async def test_a_link_that_finds_no_descriptor_is_not_opened(self) -> None:
        self.call_all([f"w{number}" for number in range(LIMIT)])
        await self.until(lambda: self.counters["connect.made"] == LIMIT)
        self.workers.connect_timeout = 20 * MILLISECOND
        self.workers.set_address("one-more", self.address)
        with self.assertRaises(RequestNotSentError):
            async with asyncio.timeout(5.0):
                await self.workers.call("one-more", "POST", b"/render", [], b"x")
        self.assertLessEqual(TrackedSocket.most_open, LIMIT)

    async def test_a_rush_of_new_clients_stays_within_the_limit(self) -> None:
        for _ in range(LIMIT):
            await self.idle_client()
        self.front.descriptor_limit, self.workers.links.max_links = LIMIT, 1
        rush = [socket.create_connection(self.front.sock.getsockname()) for _ in range(LIMIT)]
        for sock in rush:
            self.addCleanup(sock.close)
            sock.sendall(READY)
        accepted = self.counters["accepted"]
        await self.until(lambda: self.counters["accepted"] >= accepted + LIMIT // 2)
        self.assertLessEqual(TrackedSocket.most_open, LIMIT + SPARE_DESCRIPTORS)
