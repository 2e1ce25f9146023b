"""At the place of effect: each effect carries its owner's number,
and whoever receives it refuses a lower one.

Bound: after an effect with a number was let in for a key, none with a lower number is. Where a restart of the
receiver must not forget, the number is on disk before the first effect with it is let in (`sync` of the
answer).

An owner looks at its lease just before each effect; it may be stopped between that look and the effect's
first byte for as long as anybody likes. Nothing but this check, at the receiver, meets that.
"""

from __future__ import annotations

from dataclasses import dataclass, field

KEYS = 10_000


@dataclass(frozen=True, slots=True)
class Verdict:
    """sync: what is to be on disk before the effect: (key, number), or nothing."""

    let_in: bool
    highest: int
    sync: tuple[str, int] | None = None


@dataclass
class Fence:
    """`highest`: by key, as the disk has it where it must last. refused: by key, how many."""

    lasting: bool = False
    highest: dict[str, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)

    def look(self, key: str, number: int) -> Verdict:
        """An effect comes. Number 0 is nobody's. A key beyond KEYS is refused: forgetting one would let old
        ones in.
        """
        seen = self.highest.get(key, 0)
        if number <= 0 or number < seen or (not seen and len(self.highest) >= KEYS):
            self.refused[key] = self.refused.get(key, 0) + 1
            return Verdict(False, seen)
        if number == seen:
            return Verdict(True, seen)
        self.highest[key] = number
        return Verdict(True, number, (key, number) if self.lasting else None)
