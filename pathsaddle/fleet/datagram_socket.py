"""The UDP socket of a member, without blocking: counted and metered sending, and reading in bursts."""

from __future__ import annotations

import socket

from pathsaddle.control_metrics import NullMeter, Purpose
from pathsaddle.fleet.messages import MAX_DATAGRAM_BYTES, AddressedDatagram
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.wire.terms import Peer, parse_peer

MAX_PEERS = 8192  # parsed addresses that are cached
READ_BYTES = MAX_DATAGRAM_BYTES + 1  # one more than is allowed: a longer datagram shows by its length


class DatagramSocket:
    """Sends datagrams to addresses that other members told.

    Attributes:
        sock: The bound socket; the owner closes it.
    """

    def __init__(self, sock: socket.socket, counters: Counters) -> None:
        self.sock, self.counters = sock, counters
        self._peers: dict[str, Peer | None] = {}

    def send(self, datagrams: list[AddressedDatagram], purpose: Purpose, meter: NullMeter) -> None:
        """Sends (address, datagram) in their order; what the kernel does not take is counted and lost."""
        for address, data in datagrams:
            peer = self._peer(address)
            if peer is None:
                continue
            try:
                self.sock.sendto(data, peer)
            except OSError:
                self.counters.add("fleet.unsent")
            else:
                self.counters.add("fleet.sent")
                self.counters.add("fleet.bytes", len(data))
                meter.went(purpose, len(data))

    def receive_pending(self) -> bytes | None:
        """Returns a datagram that has come already; None: there is none."""
        try:
            return self.sock.recv(READ_BYTES)
        except OSError:
            return None

    def _peer(self, address: str) -> Peer | None:
        """Parses an address; others tell it, so one that is none must not harm us."""
        if address not in self._peers:
            if len(self._peers) >= MAX_PEERS:
                self._peers.clear()
            try:
                self._peers[address] = parse_peer(address)
            except ValueError:
                self._peers[address] = None
        return self._peers[address]
