"""From a TOML table to the checked objects: every fault of a file in one go, one line each.

A fault names the file, the key's path, what stands there, what may stand there, and the nearest known key.
"""

from __future__ import annotations

import difflib
import inspect
import json
import re
import tomllib
import typing
from dataclasses import dataclass
from pathlib import Path
from types import NoneType, UnionType
from typing import Any, Literal, TypeVar, Union, get_args, get_origin

import msgspec

from pathsaddle.charter.units import Duration, Size, hook, written

T = TypeVar("T")


@dataclass(frozen=True)
class Fault:
    """One thing that is wrong in a file."""

    file: str
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: {self.text}"


class Faulty(ValueError):
    """The file can't be used; holds all that is wrong in it."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


def load(path: str | Path) -> dict[str, Any]:
    """The file's table; raises Faulty where it can't be read or is no TOML."""
    try:
        text = Path(path).read_text(encoding="utf-8")
        if str(path).endswith(".json"):  # the same table, as programs write it
            told = json.loads(text)
            return told if isinstance(told, dict) else {"": told}
        return tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as fault:
        raise Faulty([Fault(str(path), "-", f"can't be read: {fault}")]) from None
    except tomllib.TOMLDecodeError as fault:
        raise Faulty([Fault(str(path), "-", f"is not TOML: {fault}")]) from None
    except json.JSONDecodeError as fault:
        raise Faulty([Fault(str(path), "-", f"is not JSON: {fault}")]) from None


def check(kind: type[T], told: Any, file: str) -> T:
    """The object that a table stands for; raises Faulty with all faults."""
    faults: list[Fault] = []
    made = _value(kind, told, "", file, faults)
    if faults:
        raise Faulty(faults)
    return typing.cast(T, made)


def is_form(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def bare(kind: Any) -> Any:
    """A kind without its `| None`."""
    if get_origin(kind) in (Union, UnionType):
        rest = [part for part in get_args(kind) if part is not NoneType]
        return rest[0] if len(rest) == 1 else kind
    return kind


def _value(kind: Any, told: Any, path: str, file: str, faults: list[Fault]) -> Any:
    plain = bare(kind)
    if is_form(plain):
        return _form(plain, told, path, file, faults)
    if get_origin(plain) is list and is_form(get_args(plain)[0]):
        if not isinstance(told, list):
            faults.append(Fault(file, path, f"{_shown(told)} stands there; a list of tables may"))
            return []
        return [_form(get_args(plain)[0], item, f"{path}[{i}]", file, faults) for i, item in enumerate(told)]
    if get_origin(plain) is dict and is_form(get_args(plain)[1]):
        if not isinstance(told, dict):
            faults.append(Fault(file, path, f"{_shown(told)} stands there; a table of tables may"))
            return {}
        return {name: _form(get_args(plain)[1], item, f"{path}.{name}", file, faults)
                for name, item in told.items()}
    try:
        return msgspec.convert(told, kind, dec_hook=hook)
    except (msgspec.ValidationError, ValueError):
        faults.append(Fault(file, path, f"{_shown(told)} stands there; {may_stand(kind)} may"))
        return None


def _form(kind: Any, told: Any, path: str, file: str, faults: list[Fault]) -> Any:
    if not isinstance(told, dict):
        faults.append(Fault(file, path or "-", f"{_shown(told)} stands there; a table may"))
        return None
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    made, before = {}, len(faults)
    for key, value in told.items():
        if key not in fields:
            near = difflib.get_close_matches(key, fields, 1, 0.5)
            hint = f"; the nearest known key is {near[0]}" if near else f"; known are {', '.join(fields)}"
            faults.append(Fault(file, _join(path, key), f"no such key{hint}"))
        else:
            made[fields[key].name] = _value(fields[key].type, value, _join(path, key), file, faults)
    for key, field in fields.items():
        if field.required and key not in told:
            faults.append(Fault(file, _join(path, key), f"is missing; {may_stand(field.type)} may stand there"))
    if len(faults) > before:
        return None
    try:
        return kind(**made)
    except ValueError as fault:  # a check across keys, in __post_init__
        faults.append(Fault(file, path or "-", str(fault)))
        return None


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _shown(told: Any) -> str:
    text = written(told) if not isinstance(told, dict) else "a table"
    return text if len(text) < 60 else text[:57] + "..."


NAMES: dict[Any, str] = {
    str: "a text", int: "a whole number", float: "a number", bool: "true or false",
    Duration: 'a duration such as "250ms"', Size: 'a size such as "64MiB"'}


def may_stand(kind: Any) -> str:
    """What may stand at a key of this kind, in words."""
    kind = bare(kind)
    if get_origin(kind) is typing.Annotated:
        inner, *more = get_args(kind)
        bounds = [f"{word} {value:g}" for meta in more if isinstance(meta, msgspec.Meta)
                  for word, value in (("at least", meta.ge), ("above", meta.gt), ("at most", meta.le),
                                      ("below", meta.lt)) if value is not None]
        return " ".join([may_stand(inner), *bounds])
    if get_origin(kind) is Literal:
        return " or ".join(f'"{value}"' for value in get_args(kind))
    if get_origin(kind) is list:
        return f"a list, each {may_stand(get_args(kind)[0])}"
    if get_origin(kind) is dict:
        return f"a table, each {may_stand(get_args(kind)[1])}"
    if is_form(kind):
        return "a table"
    return NAMES.get(kind, getattr(kind, "__name__", str(kind)))


def meanings(kind: Any) -> dict[str, str]:
    """What the docstring of a form says of each key: lines `key: meaning`, more lines indented under it."""
    found: dict[str, str] = {}
    key = ""
    for line in inspect.cleandoc(kind.__doc__ or "").splitlines():
        match = re.match(r"([a-z_0-9]+): (.*)", line)
        if match:
            key, found[match[1]] = match[1], match[2]
        elif line.startswith("  ") and key:
            found[key] += " " + line.strip()
        elif not line.strip():
            key = ""
    return found


def explain(kind: Any, path: str = "") -> list[tuple[str, str, str, str]]:
    """Rows (key path, what may stand there, default, meaning) of a form and of all forms in it."""
    rows, below = [], []
    told = meanings(kind)
    for field in msgspec.structs.fields(kind):
        name, plain = _join(path, field.encode_name), bare(field.type)
        inner = plain
        if get_origin(plain) is list and is_form(get_args(plain)[0]):
            inner, name = get_args(plain)[0], name + "[]"
        if is_form(inner):
            below += [(name, "a table each" if inner is not plain else "a table", "", told[field.encode_name]),
                      *explain(inner, name)]
            continue
        if field.required:
            default = "must be given"
        elif field.default_factory is not msgspec.NODEFAULT:
            default = written(field.default_factory())
        else:
            default = "none" if field.default is None else written(field.default)
        rows.append((name, may_stand(field.type), default, told[field.encode_name]))
    return rows + below
