"""Turns a decoded table into checked objects, and reports all that is wrong with it at once.

Every reader of an operator's file calls `load_toml`, then `validate`. msgspec checks each single value; since
it stops at the first error, the walk over the tables is ours. An error names the file, the key's path, what
stands there, what may stand there, and, for an unknown key, the nearest known one. The values of secrets
never appear in an error.

The names of `config/errors.py`, `config/toml_loader.py` and `config/explanation.py` that other packages use
can be imported from here too.
"""

from __future__ import annotations

import difflib
from typing import Any, Literal, TypeVar, cast, get_args

import msgspec

from pathsaddle.config.addresses import address_problem
from pathsaddle.config.display import display_value, join_key
from pathsaddle.config.errors import (
    NO_KEY,
    ConfigKeyError,
    DuplicateError,
    InvalidAddressError,
    InvalidConfigError,
    InvalidPathError,
    InvalidValueError,
    MissingKeyError,
    NotAllowedValueError,
    NotUtf8Error,
    OutOfBoundsError,
    TomlSyntaxError,
    TooLongError,
    TooShortError,
    UnknownKeyError,
    UnreadableFileError,
    WrongTypeError,
)
from pathsaddle.config.explanation import KeyExplanation, allowed_values, explain_keys, key_descriptions
from pathsaddle.config.toml_loader import load_toml
from pathsaddle.config.type_hints import (
    TypeHint,
    extras_of,
    fields_of,
    is_table,
    listed_table,
    mapped_table,
    metas_of,
    origin_of,
    without_none,
)
from pathsaddle.config.units import decode_quantity

__all__ = [
    "ConfigKeyError",
    "DuplicateError",
    "InvalidAddressError",
    "InvalidConfigError",
    "InvalidPathError",
    "InvalidValueError",
    "KeyExplanation",
    "MissingKeyError",
    "NotAllowedValueError",
    "NotUtf8Error",
    "OutOfBoundsError",
    "TomlSyntaxError",
    "TooLongError",
    "TooShortError",
    "UnknownKeyError",
    "UnreadableFileError",
    "WrongTypeError",
    "address_problem",
    "allowed_values",
    "display_value",
    "explain_keys",
    "key_descriptions",
    "load_toml",
    "validate",
]

T = TypeVar("T")
MIN_KEY_SIMILARITY = 0.5  # of `difflib`, 0 to 1: below it no known key is suggested


def validate(table: type[T], value: object, file: str, path: str = "") -> T:
    """Makes the object that a decoded table stands for.

    Args:
        table: The type of the table.
        value: The table as TOML or JSON decodes it.
        file: The file's name, for errors.
        path: The key path of the table, where it is a part of a file.

    Returns:
        The checked object.

    Raises:
        InvalidConfigError: Something is wrong; it holds all that is.
    """
    reader = _TableReader(file)
    checked = reader.read(table, value, path)
    if reader.errors:
        raise InvalidConfigError(reader.errors)
    return cast(T, checked)


class _TableReader:
    """The walk over the tables of one file; it collects the errors that it finds on its way.

    Each method returns the checked value, or None where it added an error.
    """

    def __init__(self, file: str) -> None:
        self.file = file
        self.errors: list[ConfigKeyError] = []

    def read(self, hint: TypeHint, value: object, path: str) -> Any:
        """Checks the value at one key, whatever its type."""
        plain = without_none(hint)
        if is_table(plain):
            return self._read_table(plain, value, path)
        if table := listed_table(plain):
            return self._read_list_of_tables(table, value, path)
        if table := mapped_table(plain):
            return self._read_mapped_tables(table, value, path)
        try:
            checked = msgspec.convert(value, hint, dec_hook=decode_quantity)
        except (msgspec.ValidationError, ValueError):
            self.errors.append(conversion_error(hint, value, path, self.file))
            return None
        if origin_of(plain) is list:
            for i, text in enumerate(cast("list[object]", value)):
                self._check_text(get_args(plain)[0], text, f"{path}[{i}]")
        else:
            self._check_text(hint, value, path)
        return checked

    def _read_list_of_tables(self, table: TypeHint, value: object, path: str) -> list[Any]:
        if not isinstance(value, list):
            self._add_wrong_type(path, value, "a list of tables")
            return []
        return [self._read_table(table, item, f"{path}[{i}]") for i, item in enumerate(value)]

    def _read_mapped_tables(self, table: TypeHint, value: object, path: str) -> dict[str, object]:
        if not isinstance(value, dict):
            self._add_wrong_type(path, value, "a table of tables")
            return {}
        return {name: self._read_table(table, item, f"{path}.{name}") for name, item in value.items()}

    def _read_table(self, table: TypeHint, value: object, path: str) -> Any:
        if not isinstance(value, dict):
            self._add_wrong_type(path or NO_KEY, value, "a table")
            return None
        errors_before = len(self.errors)
        fields = fields_of(table)
        arguments = {}
        for key, item in value.items():
            if key in fields:
                arguments[fields[key].name] = self.read(fields[key].type, item, join_key(path, key))
            else:
                self._add_unknown_key(join_key(path, key), key, list(fields))
        for key, field in fields.items():
            if field.required and key not in value:
                self._add_missing_key(join_key(path, key), key, field.type)
        if len(self.errors) > errors_before:
            return None
        return self._construct(table, arguments, path)

    def _construct(self, table: TypeHint, arguments: dict[str, object], path: str) -> Any:
        """Makes the object of keys that are right by themselves, and checks them against each other."""
        try:
            instance = table(**arguments)
        except ValueError as error:  # of `__post_init__`: `key: what` names the key itself
            key, colon, text = str(error).partition(": ")
            if not (colon and key in fields_of(table)):
                key, text = "", str(error)
            self.errors.append(ConfigKeyError(self.file, join_key(path, key) or NO_KEY, text))
            return None
        contradictions = list(instance.amiss()) if hasattr(instance, "amiss") else []
        self.errors += [problem.of(self.file, path) for problem in contradictions]
        return None if contradictions else instance

    def _check_text(self, hint: TypeHint, text: object, path: str) -> None:
        """Checks what a hint demands of a text beyond its type: to be a path, or an address."""
        if not isinstance(text, str):
            return
        extras = extras_of(hint)
        if (kind := extras.get("path")) and not _may_be_path(text, kind):
            self.errors.append(InvalidPathError(self.file, path, shown=display_value(text), kind=kind))
        if (family := extras.get("address")) and (problem := address_problem(text, family == "IPv4")):
            self.errors.append(
                InvalidAddressError(
                    self.file, path, shown=display_value(text), why=problem, may=allowed_values(hint)
                )
            )

    def _add_wrong_type(self, path: str, value: object, allowed: str) -> None:
        self.errors.append(WrongTypeError(self.file, path, shown=display_value(value), may=allowed))

    def _add_unknown_key(self, path: str, key: str, known: list[str]) -> None:
        nearest = difflib.get_close_matches(key, known, 1, MIN_KEY_SIMILARITY)
        hint = f"the nearest known key is {nearest[0]}" if nearest else f"known are {', '.join(known)}"
        self.errors.append(UnknownKeyError(self.file, path, hint=hint))

    def _add_missing_key(self, path: str, key: str, hint: TypeHint) -> None:
        is_list = listed_table(without_none(hint)) is not None
        allowed = f"at least one table, [[{key}]]," if is_list else allowed_values(hint)
        self.errors.append(MissingKeyError(self.file, path, may=allowed))


def _may_be_path(text: str, kind: Literal["file", "folder"]) -> bool:
    """Whether a text can name a file or directory; it need not be there."""
    if "\0" in text:
        return False
    return kind != "file" or bool(text and not text.endswith(("/", "/.", "/..")) and text not in {".", ".."})


def conversion_error(hint: TypeHint, value: object, path: str, file: str) -> ConfigKeyError:
    """Says what is wrong with a value that can't be converted to its type.

    Args:
        hint: The type of the key.
        value: What stands there.
        path: The key's path.
        file: The file's name.

    Returns:
        The most specific error: a wrong length, a value out of bounds, one that is not allowed, or a wrong
        type.
    """
    plain = without_none(hint)
    inner = without_none(get_args(plain)[0]) if metas_of(plain) else plain
    # A secret is not shown: errors go to logs, and are pasted where help is asked for.
    is_hidden = extras_of(hint).get("secret") and isinstance(value, str)
    displayed = "a text" if is_hidden else display_value(value)
    if wrong_length := _length_problem(hint, inner, value, displayed):
        return wrong_length.of(file, path)
    if _is_number_of(inner, value):
        return OutOfBoundsError(file, path, shown=displayed, may=allowed_values(hint))
    if origin_of(plain) is Literal and type(value) in {type(allowed) for allowed in get_args(plain)}:
        return NotAllowedValueError(file, path, shown=displayed, may=allowed_values(hint))
    return WrongTypeError(file, path, shown=displayed, may=allowed_values(hint))


def _length_problem(
    hint: TypeHint, inner: TypeHint, value: object, displayed: str
) -> InvalidValueError | None:
    """The problem of a text or list of the right type that is too short or too long."""
    if isinstance(value, str) and inner is str:
        unit = "characters"
    elif isinstance(value, list) and origin_of(inner) is list:
        unit = "values"
    else:
        return None
    count = len(value)
    for meta in metas_of(hint):
        if meta.min_length is not None and count < meta.min_length:
            return InvalidValueError(
                "", TooShortError, shown=displayed, count=count, unit=unit, least=meta.min_length
            )
        if meta.max_length is not None and count > meta.max_length:
            return InvalidValueError(
                "", TooLongError, shown=displayed, count=count, unit=unit, most=meta.max_length
            )
    return None


def _is_number_of(hint: TypeHint, value: object) -> bool:
    """Whether the value is a number that fits the type; true and false are none."""
    if hint is float:
        return type(value) in (int, float)
    return hint is int and type(value) is int
