"""Describes the keys of a table: what may stand there, the default and the meaning.

Errors use `allowed_values` for their remedy. `pathsaddle check --explain` and the tables in docs/ are the
rows of `explain_keys`; the meanings are the docstrings of the tables. `tests/test_config.py` compares them
with the pages.
"""

from __future__ import annotations

import inspect
import re
from types import UnionType
from typing import Any, Literal, NamedTuple, Union, get_args

import msgspec

from pathsaddle.config.display import join_key
from pathsaddle.config.type_hints import (
    TypeHint,
    extras_of,
    is_annotated,
    is_table,
    listed_table,
    metas_of,
    origin_of,
    without_none,
)
from pathsaddle.config.units import Duration, Size, format_quantity

TYPE_NAMES: dict[TypeHint, str] = {
    str: "a text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    Duration: 'a duration such as "250ms"',
    Size: 'a size such as "64MiB"',
}
KEY_LINE = re.compile(r"([a-z_0-9]+): (.*)")  # `key: meaning`, in the docstring of a table


class KeyExplanation(NamedTuple):
    """One row of `check --explain`."""

    path: str
    allowed: str
    default: str
    meaning: str


def allowed_values(hint: TypeHint) -> str:
    """Says in words what may stand at a key with this type."""
    hint = without_none(hint)
    if origin_of(hint) in (Union, UnionType):
        return ", or ".join(map(allowed_values, get_args(hint)))
    if is_annotated(hint):
        return _annotated_values(hint)
    if origin_of(hint) is Literal:
        return " or ".join(f'"{value}"' for value in get_args(hint))
    if origin_of(hint) in (list, dict):
        return _container_values(hint)
    if is_table(hint):
        return "a table"
    return TYPE_NAMES.get(hint, getattr(hint, "__name__", str(hint)))


def _container_values(hint: TypeHint) -> str:
    """Of a list, or a dictionary by name, which is a table in the file."""
    inner = get_args(hint)[-1]
    if origin_of(hint) is list:
        return "a list of tables" if is_table(inner) else f"a list, each {allowed_values(inner)}"
    return "a table" if inner is Any else f"a table, each {allowed_values(inner)}"


def _annotated_values(hint: TypeHint) -> str:
    """Of a type with bounds: its own words, its length or its range, whichever is the first that it has."""
    inner, metas = get_args(hint)[0], metas_of(hint)
    if wording := extras_of(hint).get("wording"):
        return wording
    for meta in metas:
        if meta.min_length and meta.min_length == meta.max_length:
            return f"{allowed_values(inner)}, {meta.min_length} of them"
    if lengths := [
        f"{bound} {length}"
        for meta in metas
        for bound, length in (("at least", meta.min_length), ("at most", meta.max_length))
        if length is not None
    ]:
        unit = "characters" if inner is str else "values"
        return f"{allowed_values(inner)}, {' and '.join(lengths)} {unit}"
    bounds = [
        f"{bound} {value:g}"
        for meta in metas
        for bound, value in (
            ("at least", meta.ge),
            ("above", meta.gt),
            ("at most", meta.le),
            ("below", meta.lt),
        )
        if value is not None
    ]
    return " ".join([allowed_values(inner), *bounds])


def key_descriptions(table: TypeHint) -> dict[str, str]:
    """Reads the meaning of each key from a table's docstring.

    A key begins a line, as `key: meaning`; further lines of its meaning are indented; an empty line ends it.
    """
    found: dict[str, str] = {}
    key = ""
    for line in inspect.cleandoc(table.__doc__ or "").splitlines():
        match = KEY_LINE.match(line)
        if match:
            key, found[match[1]] = match[1], match[2]
        elif line.startswith("  ") and key:
            found[key] += " " + line.strip()
        elif not line.strip():
            key = ""
    return found


def explain_keys(table: TypeHint, path: str = "") -> list[KeyExplanation]:
    """Explains the keys of a table, then those of all tables in it.

    Args:
        table: The table's type.
        path: The key path of the table; empty at the top.

    Returns:
        A row for each key, in the order of the fields; the tables within follow, each after a row of its own.
    """
    rows: list[KeyExplanation] = []
    tables: list[KeyExplanation] = []
    meanings = key_descriptions(table)
    for field in msgspec.structs.fields(table):
        key_path, hint = join_key(path, field.encode_name), without_none(field.type)
        meaning = meanings[field.encode_name]
        if inner := listed_table(hint):
            key_path += "[]"
            tables += [KeyExplanation(key_path, "a table each", "", meaning), *explain_keys(inner, key_path)]
        elif is_table(hint):
            tables += [KeyExplanation(key_path, "a table", "", meaning), *explain_keys(hint, key_path)]
        else:
            rows.append(KeyExplanation(key_path, allowed_values(field.type), _default_of(field), meaning))
    return rows + tables


def _default_of(field: msgspec.structs.FieldInfo) -> str:
    """The default of a key, as it would be written in the file."""
    if field.required:
        return "must be given"
    if field.default_factory is not msgspec.NODEFAULT:
        return format_quantity(field.default_factory())
    return "none" if field.default is None else format_quantity(field.default)
