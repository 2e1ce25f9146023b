"""By what a subscriber's process acts: what a subscriber's driver hands to those who listen. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from pathsaddle.settings.active_terms import ActiveTerms


@dataclass(frozen=True)
class ActiveSettings:
    """By what a subscriber acts: a revision that is on its disk, narrowed by the proposals that it holds.

    Attributes:
        revision: 0: none yet.
        digest: Of that revision.
        rows: The entries, by key.
        offers: Whether a proposal narrows them.
        terms: That revision's own entries, narrowed by no proposal.
    """

    revision: int = 0
    digest: str = ""
    rows: Mapping[str, bytes] = field(default_factory=dict)
    offers: bool = False
    terms: ActiveTerms | None = field(default=None, compare=False)
