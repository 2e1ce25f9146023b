"""The check at the place of effect: each carries a fencing token, and its receiver refuses a lower one.

Invariant: after an effect with a fencing token was admitted for a key, none with a lower one is. Where a
restart of the receiver must not forget, the token is on disk before the first effect with it is admitted
(`Admission.write`). Broken by the mutant `number-unchecked`, and found by `tests/test_consensus.py`.

A lease holder looks at its lease just before each effect; it may be stopped between that look and the
effect's first byte for any length of time. Nothing but this check, at the receiver, covers that (Chubby's
sequencers). Receivers of effects hold a `Fence`; lease holders never do.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from pathsaddle.consensus.messages import FencingToken

MAX_KEYS = 10_000  # memory stays bounded; a key that was forgotten would admit old effects


class FenceWrite(NamedTuple):
    """A key's highest fencing token, to be written to disk."""

    key: str
    fencing_token: FencingToken


@dataclass(frozen=True, slots=True)
class Admission:
    """The answer to one effect.

    Attributes:
        is_admitted: Whether the effect may take place.
        highest: The highest fencing token that was seen before, or with, it.
        write: What must be on disk before the effect; None: nothing.
    """

    is_admitted: bool
    highest: FencingToken
    write: FenceWrite | None = None


@dataclass
class Fence:
    """One receiver's fence.

    Attributes:
        is_durable: Whether fencing tokens must outlast a restart of the receiver.
        highest: The highest fencing token of each key, as the disk has it where it must last.
        refused: How many effects were refused, by key.
    """

    is_durable: bool = False
    highest: dict[str, FencingToken] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)

    def admit(self, key: str, fencing_token: FencingToken) -> Admission:
        """Decide whether an effect may take place.

        Fencing token 0 is nobody's. A key beyond MAX_KEYS is refused: forgetting one would admit old effects.
        """
        seen = self.highest.get(key, 0)
        if fencing_token <= 0 or fencing_token < seen or (not seen and len(self.highest) >= MAX_KEYS):
            self.refused[key] = self.refused.get(key, 0) + 1
            return Admission(False, seen)
        if fencing_token == seen:
            return Admission(True, seen)
        self.highest[key] = fencing_token
        return Admission(True, fencing_token, FenceWrite(key, fencing_token) if self.is_durable else None)
