"""What a process believes of the register, as JSON for whoever asks it.

JSON members keep their former names.
"""

from __future__ import annotations

import msgspec

from pathsaddle.consensus.acceptor import Acceptor
from pathsaddle.consensus.acceptor_key import AcceptorKey
from pathsaddle.consensus.lease_manager import LeaseManager
from pathsaddle.consensus.messages import FencingToken, Incarnation, Ticks

MAX_LISTED_KEYS = 100
TICKS_PER_MILLISECOND = 10


class KeyView(msgspec.Struct):
    """One key at this process's acceptor."""

    holder: str = msgspec.field(name="owner")
    fencing_token: FencingToken = msgspec.field(name="number")
    remaining_ms: int = msgspec.field(name="left_ms")


class AcceptorView(msgspec.Struct):
    """This process's acceptor."""

    is_participating: bool = msgspec.field(name="part")
    incarnation: Incarnation = msgspec.field(name="start")
    key_count: int = msgspec.field(name="keys")
    key_views: dict[str, KeyView] = msgspec.field(name="rows")


class RegisterView(msgspec.Struct):
    """This process."""

    name: str
    incarnation: Incarnation = msgspec.field(name="life")
    held_tokens: dict[str, FencingToken] = msgspec.field(name="owns")
    acceptor: AcceptorView | None = msgspec.field(name="voter")


def _view_of_key(state: AcceptorKey, now: Ticks) -> KeyView:
    value = state.state.value
    remaining_ms = max(0, state.lease_end - now) // TICKS_PER_MILLISECOND
    return KeyView(value.holder, value.fencing_token, remaining_ms)


def view_of(lease_manager: LeaseManager, acceptor: Acceptor | None, now: Ticks) -> RegisterView:
    """Return the view of a process."""
    held_tokens = {key: lease_manager.fencing_token(key, now) for key in lease_manager.held_keys(now)}
    acceptor_view = None
    if acceptor is not None:
        listed = sorted(acceptor.keys.items())[:MAX_LISTED_KEYS]
        acceptor_view = AcceptorView(
            acceptor.is_participating,
            acceptor.incarnation,
            len(acceptor.keys),
            {key: _view_of_key(state, now) for key, state in listed},
        )
    return RegisterView(lease_manager.name, lease_manager.incarnation, held_tokens, acceptor_view)
