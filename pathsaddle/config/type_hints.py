"""What the type annotations of a configuration table say about its keys.

`config/validation.py` and `config/explanation.py` ask these questions about the fields of a table (a msgspec
Struct). A hint is whatever Python allows as an annotation, so its own type is `Any`.
"""

from __future__ import annotations

from functools import cache
from types import NoneType, UnionType
from typing import Annotated, Any, Literal, TypeAlias, TypedDict, Union, cast, get_args, get_origin

import msgspec

TypeHint: TypeAlias = Any


class Extras(TypedDict, total=False):
    """What a hint demands beyond what msgspec checks itself; it stands in `msgspec.Meta(extra=...)`."""

    address: Literal["any", "IPv4"]  # the value is host:port
    path: Literal["file", "folder"]  # the value is the path of one
    secret: bool  # the value is never shown
    wording: str  # what may stand there, as the operator is told


def origin_of(hint: TypeHint) -> Any:
    """The generic type of a hint, such as `list` of `list[int]`; None where it is not generic."""
    origin: Any = get_origin(hint)
    return origin


def is_table(hint: TypeHint) -> bool:
    """Whether the hint is a table of its own."""
    return isinstance(hint, type) and issubclass(hint, msgspec.Struct)


def is_annotated(hint: TypeHint) -> bool:
    """Whether the hint has bounds or extras."""
    return origin_of(hint) is Annotated


def without_none(hint: TypeHint) -> TypeHint:
    """Strips `| None` from a hint; other unions stay as they are."""
    if origin_of(hint) in (Union, UnionType):
        rest = [part for part in get_args(hint) if part is not NoneType]
        return rest[0] if len(rest) == 1 else hint
    return hint


def listed_table(hint: TypeHint) -> TypeHint | None:
    """The table of which the hint is a list; None where it is no list of tables."""
    return get_args(hint)[0] if origin_of(hint) is list and is_table(get_args(hint)[0]) else None


def mapped_table(hint: TypeHint) -> TypeHint | None:
    """The table of which the hint is a dictionary; None where it is no dictionary of tables."""
    return get_args(hint)[1] if origin_of(hint) is dict and is_table(get_args(hint)[1]) else None


def metas_of(hint: TypeHint) -> list[msgspec.Meta]:
    """The bounds that are annotated at a hint."""
    plain = without_none(hint)
    if not is_annotated(plain):
        return []
    return [meta for meta in get_args(plain)[1:] if isinstance(meta, msgspec.Meta)]


def extras_of(hint: TypeHint) -> Extras:
    """The extras that are annotated at a hint."""
    found = Extras()
    for meta in metas_of(hint):
        found |= cast(Extras, meta.extra or {})
    return found


@cache
def fields_of(table: TypeHint) -> dict[str, msgspec.structs.FieldInfo]:
    """The fields of a table by their key in the file.

    Cached: worked out from the annotations for each row they were most of what a check of 750 customers took.
    """
    return {field.encode_name: field for field in msgspec.structs.fields(table)}
