"""Reads a TOML file, or the same tables as JSON, without judging what they say.

All readers of operators' files call it, then `config/validation.py`.
"""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

from pathsaddle.config.errors import (
    NO_KEY,
    ConfigKeyError,
    InvalidConfigError,
    NotUtf8Error,
    TomlSyntaxError,
    UnreadableFileError,
)
from pathsaddle.errors import access, why


def load_toml(path: str | Path) -> dict[str, Any]:
    """Decodes a file.

    Args:
        path: The file. Where its name ends in `.json` it is read as JSON, as programs write it.

    Returns:
        The top-level table. JSON that is no object stands under the empty key, which no table has.

    Raises:
        InvalidConfigError: The file can't be read or decoded.
    """
    file = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
        if not file.endswith(".json"):
            return tomllib.loads(text)
        decoded = json.loads(text)
        return decoded if isinstance(decoded, dict) else {"": decoded}
    except (UnicodeDecodeError, OSError, tomllib.TOMLDecodeError, json.JSONDecodeError) as error:
        raise InvalidConfigError([_loading_error(error, file)]) from None


def _loading_error(error: Exception, file: str) -> ConfigKeyError:
    """What the operator is told of an exception that reading or decoding raised."""
    if isinstance(error, UnicodeDecodeError):
        return NotUtf8Error(file, NO_KEY, at=error.start)
    if isinstance(error, OSError):
        return UnreadableFileError(file, NO_KEY, "", access(error, file), why=why(error))
    form = "TOML" if isinstance(error, tomllib.TOMLDecodeError) else "JSON"
    return TomlSyntaxError(file, NO_KEY, form=form, why=why(error))
