"""The form of what members and keepers of a spec send one another: one datagram, at most 1,200 bytes, signed.

As `fleet.messages`: a byte that names the form, then msgpack (one array), then the first 16 bytes of HMAC-SHA256
over all before. What can't be used is refused by its reason. Knows no socket. What comes twice, late or never
is the cores' matter.
"""

from __future__ import annotations

import hmac

import msgspec
from msgspec import Struct

FORM = 65  # another range than the membership's: neither reads the other's
MOST = 1200
SUM = 16
PIECE = 1024  # bytes of a text in one datagram
ASK, RENEWED, OFFER, COMMIT, HAVE, WANT, TEXT, JOB = range(8)
PING, PONG, WORD, SHARE, ANSWER, LOOK, NEVER = range(8, 15)


class Said(Struct, array_like=True, frozen=True):
    """One datagram.

    name, life: of its sender. kind: of the above.
    echo: ASK, RENEWED: by what an answer is known. to: RENEWED: whose asking of which life.
    number, digest, size: of a version, and how many bytes its text has.
    first: WANT: from which piece on; TEXT: which piece. data: that piece, or a JOB's txn.
    Of dealings abroad: echo: PING, PONG; size: PONG: what is free; NEVER: the age of that life; data: the posting
      (JOB, ANSWER, LOOK, NEVER), or what is said (WORD, SHARE); first: ANSWER: 1 for settled, 0 for declined.
    scheme, home, region: JOB: what, where it belongs, where its client came.
    """

    name: str
    life: int
    kind: int
    echo: int = 0
    to: str = ""
    number: int = 0
    digest: str = ""
    size: int = 0
    first: int = 0
    data: bytes = b""
    scheme: str = ""
    home: str = ""
    region: str = ""


class Refused(ValueError):
    """A datagram that is not read; its text is the reason: cut, stranger, newer."""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Said).decode


def encode(said: Said, key: bytes) -> bytes:
    body = bytes((FORM,)) + _encode(said)
    return body + hmac.digest(key, body, "sha256")[:SUM]


def decode(data: bytes, key: bytes) -> Said:
    """Raises Refused."""
    if not 1 + SUM < len(data) <= MOST:
        raise Refused("cut")
    body, told = data[:-SUM], data[-SUM:]
    if not hmac.compare_digest(hmac.digest(key, body, "sha256")[:SUM], told):
        raise Refused("stranger")
    if body[0] != FORM:
        raise Refused("newer")
    try:
        said = _decode(body[1:])
    except (msgspec.DecodeError, msgspec.ValidationError):
        raise Refused("cut") from None
    if said.number < 0 or said.first < 0 or not 0 <= said.size <= 8 << 20 or len(said.data) > PIECE:
        raise Refused("cut")
    return said


class Pieces:
    """Texts that are on their way to us, by (number, digest); counts nothing before the digest is right.

    Bound: at most two texts of 8 MB at a time; the one begun first goes.
    """

    def __init__(self) -> None:
        self._texts: dict[tuple[int, str], tuple[int, dict[int, bytes]]] = {}

    def begin(self, number: int, digest: str, size: int) -> int:
        """From which piece on it is wanted."""
        found = self._texts.get((number, digest))
        if found is None or found[0] != size:
            while len(self._texts) >= 2:
                del self._texts[next(iter(self._texts))]
            found = self._texts[number, digest] = (size, {})
        have = found[1]
        return next(i for i in range(len(have) + 1) if i not in have)

    def took(self, said: Said) -> bytes | None:
        """The whole text, once it is there and is what the digest says."""
        import hashlib

        found = self._texts.get((said.number, said.digest))
        if found is None:
            return None
        size, have = found
        if said.first * PIECE < size:
            have[said.first] = said.data
        if len(have) * PIECE < size:
            return None
        whole = b"".join(have[i] for i in sorted(have))
        del self._texts[said.number, said.digest]
        good = len(whole) == size and hashlib.blake2b(whole, digest_size=16).hexdigest() == said.digest
        return whole if good else None
