"""What an acceptor has on disk, and the writes that change it.

`acceptor.py` emits the writes, `acceptor_log.py` carries them out and hands the state back at the next start;
the emulator's disk does the same in memory. No I/O here.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pathsaddle.consensus.messages import Incarnation, KeyState


@dataclass(frozen=True, slots=True)
class KeyWrite:
    """The state of a key."""

    key: str
    state: KeyState


@dataclass(frozen=True, slots=True)
class PeerIncarnationWrite:
    """The highest incarnation that is known of another acceptor."""

    acceptor: str
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class OwnIncarnationWrite:
    """The acceptor's own incarnation, and whether its disk holds all that it ever answered by."""

    acceptor: str
    incarnation: Incarnation
    is_intact: bool


DiskWrite = KeyWrite | PeerIncarnationWrite | OwnIncarnationWrite


@dataclass
class StoredState:
    """What a disk holds.

    Attributes:
        keys: The state of each key.
        peer_incarnations: The highest known incarnation of each other acceptor.
        incarnation: The acceptor's own last one; 0 before its first start.
        is_intact: Nothing was lost, as far as the disk can tell by itself.
        damage: What is wrong with the disk, in words, where it is not intact.
    """

    keys: dict[str, KeyState] = field(default_factory=dict)
    peer_incarnations: dict[str, Incarnation] = field(default_factory=dict)
    incarnation: Incarnation = 0
    is_intact: bool = False
    damage: str = ""

    def apply(self, write: DiskWrite) -> None:
        """Change the state as the write says."""
        if isinstance(write, KeyWrite):
            self.keys[write.key] = write.state
        elif isinstance(write, OwnIncarnationWrite):
            self.incarnation, self.is_intact = write.incarnation, write.is_intact
        else:
            self.peer_incarnations[write.acceptor] = write.incarnation
