"""The rig's own check, hollow: counts the bytes of one round in which each member tells each other of a few
peers.

Nothing is started or sent. Its figures are known beforehand by arithmetic, so a run of it shows that the rig
plays, keeps and fits what it is told.
"""

from __future__ import annotations

from random import Random

import msgspec


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """peers: whom each member tells. entry: bytes of a message beside its head."""

    peers: int = 3
    entry: int = 20


HEAD = 8  # bytes of a message

FIGURES: dict[str, tuple[str, str]] = {
    "bytes": ("bytes", "hollow: of one round, all members together; each tells the same few peers"),
    "whole_bytes": ("bytes", "hollow: of one round in which each member tells every other"),
    "longest": ("bytes", "hollow: the longest message"),
}
COUNTED = frozenset(FIGURES)


def needs(point: int, setting: Setting) -> tuple[int, float]:
    """(processes, MiB) of one play with `point` members."""
    return 1, 60.0 + point * setting.entry / 1e6


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One round of `point` members; the seed draws which entry a message has, and no figure hangs on it."""
    chance = Random(seed)
    messages = [HEAD + len(chance.randbytes(setting.entry)) for _ in range(min(setting.peers, point - 1))]
    each = sum(messages)
    return {
        "bytes": float(point * each),
        "whole_bytes": float(point * (point - 1) * (HEAD + setting.entry)),
        "longest": float(max(messages, default=0)),
    }
