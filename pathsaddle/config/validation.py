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
from functools import cache
from pathlib import Path
from types import NoneType, UnionType
from typing import Any, Literal, TypeVar, Union, get_args, get_origin

import msgspec

from pathsaddle.config.units import Duration, Size, format_quantity, hook
from pathsaddle.errors import Error, access, why

T = TypeVar("T")


class ConfigKeyError(Error):
    """One thing that is wrong in a file. `path`: of its key, as `schemes[0].expiry`; "-" of the file as a whole."""

    name = "charter.wrong"
    what = "{path} does not fit the rest"
    do = "change {path}"

    def __init__(self, file: str, path: str, what: str = "", do: str = "", /, **told: object) -> None:
        if what and not do:  # as forms say it in one: `X stands there; Y may`
            what, _, may = what.partition("; ")
            do = f"write {may[:-4]} at {path}" if may.endswith(" may") else may
        path = _printable(path)[:200]
        super().__init__(what, do, file=file, path=path, **told)
        self.file, self.path = file, path
        self.args = (file, path, self.what, self.do)

    @property
    def text(self) -> str:
        return f"{self.what}; {self.do}"

    def __str__(self) -> str:
        where = "" if self.path == "-" else f"{self.path}: "
        return f"{self.file}: {where}{super().__str__()}"


class UnreadableFileError(ConfigKeyError):
    name = "charter.unreadable"
    what = "can't be read: {why}"
    do = ""


class NotUtf8Error(ConfigKeyError):
    name = "charter.no-text"
    what = "is no text in UTF-8: byte {at} is none"
    do = "save {file} as UTF-8"


class TomlSyntaxError(ConfigKeyError):
    name = "charter.no-form"
    what = "is not {form}: {why}"
    do = "write {form} at that place of {file}"


class UnknownKeyError(ConfigKeyError):
    name = "charter.unknown-key"
    what = "no such key; {hint}"
    do = "rename {path} or take it out"


class MissingKeyError(ConfigKeyError):
    name = "charter.missing"
    what = "is missing"
    do = "write {may} at {path}"


class WrongTypeError(ConfigKeyError):
    name = "charter.wrong-kind"
    what = "{shown} stands there"
    do = "write {may} at {path}"


class OutOfBoundsError(WrongTypeError):
    name = "charter.out-of-bounds"


class TooShortError(ConfigKeyError):
    name = "charter.too-short"
    what = "{shown} stands there, of {count} {unit}"
    do = "write {least} {unit} at least at {path}"


class TooLongError(ConfigKeyError):
    name = "charter.too-long"
    what = "{shown} stands there, of {count} {unit}"
    do = "write {most} {unit} at most at {path}"


class NotAllowedValueError(WrongTypeError):
    name = "charter.not-among"


class InvalidAddressError(ConfigKeyError):
    name = "charter.no-address"
    what = "{shown} stands there, which is no address: {why}"
    do = "write {may} at {path}"


class InvalidPathError(ConfigKeyError):
    name = "charter.no-path"
    what = "{shown} stands there, which names no {kind}"
    do = "write the path of a {kind} at {path}"


class DuplicateError(ConfigKeyError):
    name = "charter.twice"
    what = "{shown} stands there twice"
    do = "give each of {path} a name of its own"


class InvalidConfigError(Error):
    """The file can't be used; holds all that is wrong in it, and prints as one line each."""

    name = "charter.faulty"
    what = "{count} things are wrong in {file}: {all}"
    do = "mend them all, then `pathsaddle check {file}`"

    def __init__(self, faults: list[ConfigKeyError]) -> None:
        super().__init__(count=len(faults), file=faults[0].file, all="; ".join(map(str, faults)))
        self.faults = faults
        self.args = (faults,)

    def __str__(self) -> str:
        return "\n".join(map(str, self.faults))


class InvalidValueError(Exception):
    """Of a form whose keys don't fit together: what fault is to be made of it. Only `check` knows file and path."""

    def __init__(
        self, key: str, kind: type[ConfigKeyError], what: str = "", do: str = "", /, **told: object
    ) -> None:
        super().__init__(key, what)
        self.key, self.kind, self.what, self.do, self.told = key, kind, what, do, told

    def of(self, file: str, path: str) -> ConfigKeyError:
        return self.kind(file, _join(path, self.key) or "-", self.what, self.do, **self.told)


def load_toml(path: str | Path) -> dict[str, Any]:
    """The file's table; raises Faulty where it can't be read or is no TOML."""
    file = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
        if file.endswith(".json"):  # the same table, as programs write it
            told = json.loads(text)
            return told if isinstance(told, dict) else {"": told}
        return tomllib.loads(text)
    except UnicodeDecodeError as fault:
        raise InvalidConfigError([NotUtf8Error(file, "-", at=fault.start)]) from None
    except OSError as fault:
        raise InvalidConfigError(
            [UnreadableFileError(file, "-", "", access(fault, path), why=why(fault))]
        ) from None
    except tomllib.TOMLDecodeError as fault:
        raise InvalidConfigError([TomlSyntaxError(file, "-", form="TOML", why=why(fault))]) from None
    except json.JSONDecodeError as fault:
        raise InvalidConfigError([TomlSyntaxError(file, "-", form="JSON", why=why(fault))]) from None


def validate(kind: type[T], told: Any, file: str, path: str = "") -> T:
    """The object that a table stands for; raises Faulty with all faults. `path`: of the table, where it is a part."""
    faults: list[ConfigKeyError] = []
    made = _value(kind, told, path, file, faults)
    if faults:
        raise InvalidConfigError(faults)
    return typing.cast(T, made)


def is_form(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def bare(kind: Any) -> Any:
    """A kind without its `| None`."""
    if get_origin(kind) in (Union, UnionType):
        rest = [part for part in get_args(kind) if part is not NoneType]
        return rest[0] if len(rest) == 1 else kind
    return kind


def _value(kind: Any, told: Any, path: str, file: str, faults: list[ConfigKeyError]) -> Any:
    plain = bare(kind)
    if is_form(plain):
        return _form(plain, told, path, file, faults)
    if get_origin(plain) is list and is_form(get_args(plain)[0]):
        if not isinstance(told, list):
            faults.append(WrongTypeError(file, path, shown=display_value(told), may="a list of tables"))
            return []
        return [_form(get_args(plain)[0], item, f"{path}[{i}]", file, faults) for i, item in enumerate(told)]
    if get_origin(plain) is dict and is_form(get_args(plain)[1]):
        if not isinstance(told, dict):
            faults.append(WrongTypeError(file, path, shown=display_value(told), may="a table of tables"))
            return {}
        return {
            name: _form(get_args(plain)[1], item, f"{path}.{name}", file, faults)
            for name, item in told.items()
        }
    try:
        made = msgspec.convert(told, kind, dec_hook=hook)
    except (msgspec.ValidationError, ValueError):
        faults.append(_unfit(kind, told, path, file))
        return None
    if get_origin(plain) is list:
        of, texts = get_args(plain)[0], [(f"{path}[{i}]", one) for i, one in enumerate(told)]
    else:
        of, texts = kind, [(path, told)]
    if (
        (place := _more(of).get("path"))
        and made is not None
        and (
            "\0" in made
            or (place == "file" and (not made or made.endswith(("/", "/.", "/..")) or made in (".", "..")))
        )
    ):
        faults.append(InvalidPathError(file, path, shown=display_value(told), kind=place))
    if address := _more(of).get("address"):
        faults += [
            InvalidAddressError(file, key, shown=display_value(one), why=fault, may=allowed_values(of))
            for key, one in texts
            if one is not None and (fault := address_problem(one, address == "IPv4"))
        ]
    return made


def _unfit(kind: Any, told: Any, path: str, file: str) -> ConfigKeyError:
    """What is wrong with a value that is none of its kind."""
    plain, seen = bare(kind), display_value(told)
    # A secret is not shown: faults go to logs, and are pasted where help is asked for.
    if _more(kind).get("secret") and isinstance(told, str):
        seen = "a text"
    metas = (
        [meta for meta in get_args(plain)[1:] if isinstance(meta, msgspec.Meta)]
        if (get_origin(plain) is typing.Annotated)
        else []
    )
    inner = bare(get_args(plain)[0]) if metas else plain
    if isinstance(told, (str, list)) and (
        inner is str if isinstance(told, str) else get_origin(inner) is list
    ):
        unit = "characters" if isinstance(told, str) else "values"
        for meta in metas:
            if meta.min_length is not None and len(told) < meta.min_length:
                return TooShortError(
                    file, path, shown=seen, count=len(told), unit=unit, least=meta.min_length
                )
            if meta.max_length is not None and len(told) > meta.max_length:
                return TooLongError(file, path, shown=seen, count=len(told), unit=unit, most=meta.max_length)
    if inner in (int, float) and type(told) in (int, float) and (inner is float or type(told) is int):
        return OutOfBoundsError(file, path, shown=seen, may=allowed_values(kind))
    if get_origin(plain) is Literal and type(told) in {type(value) for value in get_args(plain)}:
        return NotAllowedValueError(file, path, shown=seen, may=allowed_values(kind))
    return WrongTypeError(file, path, shown=seen, may=allowed_values(kind))


def _more(kind: Any) -> dict[str, Any]:
    """What a form says of a kind beyond what msgspec checks: `address`, `secret`, in `extra`."""
    plain = bare(kind)
    found: dict[str, Any] = {}
    if get_origin(plain) is typing.Annotated:
        for meta in get_args(plain)[1:]:
            found |= getattr(meta, "extra", None) or {}
    return found


def address_problem(told: str, ipv4: bool = False) -> str:
    """Why a text is no host:port, to stand after "no address:"; empty where it is one, or is empty itself."""
    if not told:
        return ""
    host, colon, port = told.rpartition(":")
    if not colon:
        return "it names no port"
    if not re.fullmatch(r"[0-9]{1,5}", port) or int(port) >= 1 << 16:
        return f"{port[:20]!r} is no port of 0 to 65535"
    if ":" in host and not re.fullmatch(r"\[[0-9A-Fa-f:.]+\]", host):
        return "an IPv6 host stands in brackets"
    if not re.fullmatch(r"[A-Za-z0-9_.-]+|\[.+\]", host):
        return f"{host[:40]!r} is no host"
    if ipv4 and ":" in host:
        return "it is none of IPv4"
    if re.fullmatch(r"[0-9.]+", host) and not re.fullmatch(OCTET + r"([.]" + OCTET + "){3}", host):
        return f"{host[:40]!r} is no IPv4 address"
    return ""


OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"


def _form(kind: Any, told: Any, path: str, file: str, faults: list[ConfigKeyError]) -> Any:
    if not isinstance(told, dict):
        faults.append(WrongTypeError(file, path or "-", shown=display_value(told), may="a table"))
        return None
    fields = _fields(kind)
    made, before = {}, len(faults)
    for key, value in told.items():
        if key not in fields:
            near = difflib.get_close_matches(key, fields, 1, 0.5)
            hint = f"the nearest known key is {near[0]}" if near else f"known are {', '.join(fields)}"
            faults.append(UnknownKeyError(file, _join(path, key), hint=hint))
        else:
            made[fields[key].name] = _value(fields[key].type, value, _join(path, key), file, faults)
    for key, field in fields.items():
        if field.required and key not in told:
            inner = get_args(bare(field.type))[:1] if get_origin(bare(field.type)) is list else ()
            may = (
                f"at least one table, [[{key}]],"
                if inner and is_form(inner[0])
                else allowed_values(field.type)
            )
            faults.append(MissingKeyError(file, _join(path, key), may=may))
    if len(faults) > before:
        return None
    try:
        form = kind(**made)
    except ValueError as fault:  # a check across keys, in __post_init__: `key: what` names the key itself
        key, colon, text = str(fault).partition(": ")
        if not (colon and key in fields):
            key, text = "", str(fault)
        faults.append(ConfigKeyError(file, _join(path, key) or "-", text))
        return None
    found = list(form.amiss()) if hasattr(form, "amiss") else []
    faults += [one.of(file, path) for one in found]
    return None if found else form


@cache
def _fields(kind: Any) -> dict[str, Any]:
    """Worked out from the annotations anew for each row they were most of what a check of 750 customers took."""
    return {field.encode_name: field for field in msgspec.structs.fields(kind)}


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path and key else path or key


def display_value(told: Any) -> str:
    """What stands in a file, for one line of a log: short, and what can't be printed by its number."""
    text = _printable(format_quantity(told)) if not isinstance(told, dict) else "a table"
    return text if len(text) < 60 else text[:57] + "..."


def _printable(text: str) -> str:
    return "".join(sign if sign.isprintable() else f"\\u{ord(sign):04x}" for sign in text)


NAMES: dict[Any, str] = {
    str: "a text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    Duration: 'a duration such as "250ms"',
    Size: 'a size such as "64MiB"',
}


def allowed_values(kind: Any) -> str:
    """What may stand at a key of this kind, in words."""
    kind = bare(kind)
    if get_origin(kind) in (Union, UnionType):
        return ", or ".join(map(allowed_values, get_args(kind)))
    if get_origin(kind) is typing.Annotated:
        inner, *more = get_args(kind)
        if words := _more(kind).get("words"):
            return str(words)
        for meta in more:
            if isinstance(meta, msgspec.Meta) and meta.min_length and meta.min_length == meta.max_length:
                return f"{allowed_values(inner)}, {meta.min_length} of them"
        if counts := [
            f"{word} {count}"
            for meta in more
            if isinstance(meta, msgspec.Meta)
            for word, count in (("at least", meta.min_length), ("at most", meta.max_length))
            if count is not None
        ]:
            unit = "characters" if inner is str else "values"
            return f"{allowed_values(inner)}, {' and '.join(counts)} {unit}"
        bounds = [
            f"{word} {value:g}"
            for meta in more
            if isinstance(meta, msgspec.Meta)
            for word, value in (
                ("at least", meta.ge),
                ("above", meta.gt),
                ("at most", meta.le),
                ("below", meta.lt),
            )
            if value is not None
        ]
        return " ".join([allowed_values(inner), *bounds])
    if get_origin(kind) is Literal:
        return " or ".join(f'"{value}"' for value in get_args(kind))
    if get_origin(kind) is list and is_form(get_args(kind)[0]):
        return "a list of tables"
    if get_origin(kind) is list:
        return f"a list, each {allowed_values(get_args(kind)[0])}"
    if get_origin(kind) is dict:
        inner = get_args(kind)[1]
        return "a table" if inner is Any else f"a table, each {allowed_values(inner)}"
    if is_form(kind):
        return "a table"
    return NAMES.get(kind, getattr(kind, "__name__", str(kind)))


def key_descriptions(kind: Any) -> dict[str, str]:
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


def explain_keys(kind: Any, path: str = "") -> list[tuple[str, str, str, str]]:
    """Rows (key path, what may stand there, default, meaning) of a form and of all forms in it."""
    rows, below = [], []
    told = key_descriptions(kind)
    for field in msgspec.structs.fields(kind):
        name, plain = _join(path, field.encode_name), bare(field.type)
        inner = plain
        if get_origin(plain) is list and is_form(get_args(plain)[0]):
            inner, name = get_args(plain)[0], name + "[]"
        if is_form(inner):
            below += [
                (name, "a table each" if inner is not plain else "a table", "", told[field.encode_name]),
                *explain_keys(inner, name),
            ]
            continue
        if field.required:
            default = "must be given"
        elif field.default_factory is not msgspec.NODEFAULT:
            default = format_quantity(field.default_factory())
        else:
            default = "none" if field.default is None else format_quantity(field.default)
        rows.append((name, allowed_values(field.type), default, told[field.encode_name]))
    return rows + below
