"""How keys and values of a configuration file are shown to an operator.

The error classes (`config/errors.py`), the checks and `check --explain` call these functions. They only
format text: they neither read files nor judge values.
"""

from __future__ import annotations

from pathsaddle.config.units import format_quantity

MAX_DISPLAYED_CHARACTERS = 60  # one value beside its key and its remedy still fits a line of a log
ELLIPSIS = "..."


def display_value(value: object) -> str:
    """Formats a value of a file for one line of a log.

    Args:
        value: A value as TOML or JSON decodes it, or a `Duration` or `Size`.

    Returns:
        The value as it would be written in the file, shortened to fewer than 60 characters, with characters
        that can't be printed replaced by their code point. A table is only named as such.
    """
    if isinstance(value, dict):
        return "a table"
    text = escape_unprintable(format_quantity(value))
    if len(text) < MAX_DISPLAYED_CHARACTERS:
        return text
    return text[: MAX_DISPLAYED_CHARACTERS - len(ELLIPSIS)] + ELLIPSIS


def escape_unprintable(text: str) -> str:
    """Replaces each character that can't be printed by a backslash, `u` and its code point in hexadecimal."""
    return "".join(character if character.isprintable() else f"\\u{ord(character):04x}" for character in text)


def join_key(path: str, key: str) -> str:
    """Joins a table's path and a key within it; either may be empty."""
    return f"{path}.{key}" if path and key else path or key
