"""The types of keys, and the base class of all tables.

A type states bounds that msgspec checks, and in `extra` what `config/validation.py` checks beyond (see
`config/type_hints.py`). Tables in other packages (plans, targets, cluster files) use them too.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta, Struct

from pathsaddle.config.errors import InvalidValueError

Part = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
NonNegative = Annotated[float, Meta(ge=0)]
Address = Annotated[str, Meta(extra={"address": "any", "wording": 'an address such as "127.0.0.1:8080"'})]
Ipv4Address = Annotated[
    str, Meta(extra={"address": "IPv4", "wording": 'host:port of IPv4, such as "127.0.0.1:7100"'})
]
FilePath = Annotated[str, Meta(extra={"path": "file", "wording": "the path of a file"})]
DirectoryPath = Annotated[str, Meta(extra={"path": "folder", "wording": "the path of a folder"})]
Secret = Annotated[str, Meta(min_length=16, extra={"secret": True})]

# Durations in ticks, tenths of a millisecond; sizes in bytes.
MILLISECOND_TICKS, SECOND_TICKS = 10, 10_000
MEBIBYTE = 1 << 20


class ConfigTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """A table of the file.

    Its docstring says of each key, as `key: meaning`, what `check --explain` prints.
    """

    def amiss(self) -> Iterator[InvalidValueError]:
        """What contradicts itself in the table, beyond each key's own type.

        Called once each key has its type, so that all contradictions of a file are reported together.
        """
        yield from ()
