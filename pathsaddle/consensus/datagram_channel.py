"""The UDP socket of a process: it decodes and counts what comes, and packs, limits and counts what goes.

The driver owns one, reads it when it is readable, and hands it what is to be sent. It knows nothing of what
messages mean, but that proposals must not silence renewals and answers.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from typing import Protocol

from pathsaddle.consensus.clock import monotonic_ticks
from pathsaddle.consensus.messages import (
    MAX_DATAGRAM_BYTES,
    DatagramRejectedError,
    Envelope,
    Incarnation,
    Message,
    Outgoing,
    Prepare,
    Read,
    acceptor_set_checksum,
    decode,
    pack_datagrams,
)
from pathsaddle.consensus.register_config import RegisterConfig
from pathsaddle.control_metrics import NullMeter
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.wire.terms import Peer, parse_peer

MAX_DATAGRAMS_PER_READ = 64  # then the event loop's other work has its turn
MAX_PEERS = 4096  # addresses of processes that are no acceptors
RECEIVE_BUFFER_BYTES = 1 << 20  # all processes may send at one moment, when acceptors restart
# Kept from proposals and reads, of what may be sent in a second: they must not silence renewals and answers.
RESERVED_PART = 0.25


class Environment(Protocol):
    """What the driver takes from the machine."""

    def datagrams(self, address: str) -> tuple[socket.socket, Peer]:
        """Return a datagram socket, and the address to bind it to."""


class DatagramChannel:
    """One bound socket.

    Attributes:
        meter: Counts the bytes of this purpose.
    """

    def __init__(self, config: RegisterConfig, environment: Environment, counters: Counters) -> None:
        """Bind the socket. Raises the errors of an address (`net/service/place.py`)."""
        self.meter = NullMeter()
        self._config, self._counters = config, counters
        self._acceptor_checksum = acceptor_set_checksum(config.acceptors)
        self._acceptor_order = sorted(config.acceptors)
        self._rate_limiter = RateLimiter(
            config.max_bytes_per_second, config.max_datagrams_per_second, monotonic_ticks()
        )
        try:
            self._socket, address = environment.datagrams(config.listen)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._socket.bind(address)
        except (OSError, ValueError) as error:
            from pathsaddle.net.service.place import bind_error

            raise bind_error(error, "fleet.owners.listen", config.listen, config.file) from None
        self._peers: dict[str, Peer] = {name: parse_peer(text) for name, text in config.acceptors.items()}

    def fileno(self) -> int:
        """Return the socket's file descriptor, for the event loop."""
        return self._socket.fileno()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def receive(self, on_envelope: Callable[[Envelope, dict[str, Incarnation]], None]) -> None:
        """Read what has come, up to a bound, and hand each envelope on with the incarnations that it tells.

        It is called by a reader of the event loop: a datagram's source is wanted, so that processes are
        answered that the configuration does not name, and uvloop has no `sock_recvfrom`.
        """
        config = self._config
        try:
            for _ in range(MAX_DATAGRAMS_PER_READ):
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
                self.meter.came("owners", len(data))
                try:
                    envelope = decode(
                        data, config.fleet_key, config.fleet, self._acceptor_checksum, config.name
                    )
                except DatagramRejectedError as reason:
                    self._counters.add(f"ownership.refused.{reason}")
                else:
                    if self._learn_source(envelope.sender, source):
                        incarnations = dict(
                            zip(self._acceptor_order, envelope.known_incarnations, strict=False)
                        )
                        on_envelope(envelope, incarnations)
        except BlockingIOError:
            pass
        except OSError:  # such as a peer's port that nobody has
            self._counters.add("ownership.socket")
        except Exception as error:  # noqa: BLE001  # a defect of ours strikes this batch alone
            logbook.fault_ownership(error)

    def _learn_source(self, sender: str, source: Peer) -> bool:
        """Remember where a process can be answered; whether its datagram is taken."""
        if sender not in self._config.acceptors:
            if sender not in self._peers and len(self._peers) >= MAX_PEERS:
                return False
            self._peers[sender] = source
        return True

    def send(
        self, outgoing: list[Outgoing], incarnation: Incarnation, known: Mapping[str, Incarnation]
    ) -> None:
        """Send messages to other processes.

        Args:
            outgoing: The messages.
            incarnation: The sender's as an acceptor; 0 if it sends as a lease manager.
            known: The highest known incarnation of each acceptor.
        """
        by_receiver: dict[str, list[Message]] = {}
        for receiver, message in outgoing:
            by_receiver.setdefault(receiver, []).append(message)
        known_incarnations = [known.get(name, 0) for name in self._acceptor_order]
        config = self._config
        for receiver, messages in by_receiver.items():
            peer = self._peers.get(receiver)
            if peer is None:
                continue
            envelope = Envelope(
                config.fleet,
                self._acceptor_checksum,
                config.name,
                receiver,
                incarnation,
                known_incarnations,
                [],
            )
            deferrable: list[Message] = [
                message for message in messages if isinstance(message, Prepare | Read)
            ]
            urgent: list[Message] = [
                message for message in messages if not isinstance(message, Prepare | Read)
            ]
            self._send_to(peer, envelope, urgent, 0.0)
            self._send_to(peer, envelope, deferrable, RESERVED_PART)

    def _send_to(self, peer: Peer, envelope: Envelope, messages: list[Message], spare: float) -> None:
        counters = self._counters
        now = monotonic_ticks()
        for data in pack_datagrams(envelope, messages, self._config.fleet_key):
            if not self._rate_limiter.try_consume(len(data), now, spare):
                counters.add("ownership.held")
                continue
            try:
                self._socket.sendto(data, peer)
            except OSError:
                counters.add("ownership.unsent")
            else:
                counters.add("ownership.sent")
                counters.add("ownership.bytes", len(data))
                self.meter.went("owners", len(data))
