"""What an operator reads of the checkers, all of the one family (docs/errors.md)."""

from __future__ import annotations

from pathsaddle.errors import Error


class HistoryError(Error):
    """Any of the checkers'."""


class Unreadable(HistoryError):
    name = "histories.unreadable"
    what = "{file}: can't be read: {why}"


class Unwritable(HistoryError):
    name = "histories.unwritable"
    what = "--keep: {folder} can't be written: {why}"


class NoLogs(HistoryError):
    name = "histories.no-logs"
    what = "{folder}: no log (*.jsonl, *.log) is there"
    do = "name the folder in which the members of the run wrote, in place of {folder}"


class Malformed(HistoryError):
    name = "histories.malformed"
    what = "{file}: line {line} is no event: {why}"
    do = "take line {line} out of {file}, or write it as docs/histories.md shows"


class Headless(HistoryError):
    name = "histories.headless"
    what = "{file}: its first line is no `history`: {why}"
    do = (
        "write the first line of {file} as docs/histories.md shows, or check it as a log: "
        "`python -m pathsaddle.histories check {file}`"
    )


class NoToml(HistoryError):
    name = "histories.no-toml"
    what = "{file}: is not TOML: {why}"
    do = "mend that place of {file}"


class UnknownKey(HistoryError):
    name = "histories.unknown-key"
    what = "{file}: {key}: no such key"
    do = "take {key} out of {file}; known are {known}"


class WrongValue(HistoryError):
    name = "histories.wrong-value"
    what = "{file}: {key}: {shown} stands there"
    do = "write {may} at {key} in {file}"


class UnknownChecker(HistoryError):
    name = "histories.unknown-checker"
    what = "{where}: no checker is called {shown}"
    do = "write one of {known} at {where}"
