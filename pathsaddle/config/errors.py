"""The errors of a configuration file: a class for each kind of error, and one that holds all of a file.

The validation (`config/validation.py`), the tables and the readers of plans, specs and shared settings raise
them. docs/errors.md lists their names and texts; `tests/test_errors.py` compares it with this module. Nothing
here reads a file.
"""

from __future__ import annotations

from pathsaddle.config.display import escape_unprintable, join_key
from pathsaddle.errors import Error

MAX_PATH_CHARACTERS = 200  # of a key's path in a line of a log; keys of a file may be of any length
NO_KEY = "-"  # in place of a key's path, where the error is about the file as a whole


class ConfigKeyError(Error):
    """One thing that is wrong in a file.

    Attributes:
        file: The file's name, as the operator gave it.
        path: The path of the key, such as `schemes[0].expiry`; "-" where the error is about the file as a
            whole.
    """

    name = "charter.wrong"
    what = "{path} does not fit the rest"
    do = "change {path}"

    def __init__(self, file: str, path: str, what: str = "", do: str = "", /, **fields: object) -> None:
        """Fills in the class's texts.

        Args:
            file: The file's name.
            path: The key's path.
            what: What is wrong, instead of the class's own text. Where `do` is empty, `what` may hold both,
                as "X stands there; Y may".
            do: What the operator can do, instead of the class's own text.
            **fields: The values of the fields in the class's texts.
        """
        if what and not do:
            what, _, allowed = what.partition("; ")
            do = f"write {allowed[:-4]} at {path}" if allowed.endswith(" may") else allowed
        path = escape_unprintable(path)[:MAX_PATH_CHARACTERS]
        super().__init__(what, do, file=file, path=path, **fields)
        self.file, self.path = file, path
        self.args = (file, path, self.what, self.do)  # by which a copy is made in another process

    @property
    def text(self) -> str:
        """What is wrong and what can be done, without file and path."""
        return f"{self.what}; {self.do}"

    def __str__(self) -> str:
        where = "" if self.path == NO_KEY else f"{self.path}: "
        return f"{self.file}: {where}{super().__str__()}"


class UnreadableFileError(ConfigKeyError):
    """The operating system does not let us read the file."""

    name = "charter.unreadable"
    what = "can't be read: {why}"
    do = ""


class NotUtf8Error(ConfigKeyError):
    """The file holds bytes that are not UTF-8."""

    name = "charter.no-text"
    what = "is no text in UTF-8: byte {at} is none"
    do = "save {file} as UTF-8"


class TomlSyntaxError(ConfigKeyError):
    """The file is neither valid TOML nor, where its name ends in `.json`, valid JSON."""

    name = "charter.no-form"
    what = "is not {form}: {why}"
    do = "write {form} at that place of {file}"


class UnknownKeyError(ConfigKeyError):
    """The table has no key of this name."""

    name = "charter.unknown-key"
    what = "no such key; {hint}"
    do = "rename {path} or take it out"


class MissingKeyError(ConfigKeyError):
    """A key that has no default is missing, or is empty where it must not be."""

    name = "charter.missing"
    what = "is missing"
    do = "write {may} at {path}"


class WrongTypeError(ConfigKeyError):
    """The value has another type than the key."""

    name = "charter.wrong-kind"
    what = "{shown} stands there"
    do = "write {may} at {path}"


class OutOfBoundsError(WrongTypeError):
    """The value is below the least or above the greatest value that the key may have."""

    name = "charter.out-of-bounds"


class TooShortError(ConfigKeyError):
    """A text or list is shorter than it must be."""

    name = "charter.too-short"
    what = "{shown} stands there, of {count} {unit}"
    do = "write {least} {unit} at least at {path}"


class TooLongError(ConfigKeyError):
    """A text, list or table is longer than it may be."""

    name = "charter.too-long"
    what = "{shown} stands there, of {count} {unit}"
    do = "write {most} {unit} at most at {path}"


class NotAllowedValueError(WrongTypeError):
    """The value is not among those that the key may have."""

    name = "charter.not-among"


class InvalidAddressError(ConfigKeyError):
    """The value is no address of the form host:port."""

    name = "charter.no-address"
    what = "{shown} stands there, which is no address: {why}"
    do = "write {may} at {path}"


class InvalidPathError(ConfigKeyError):
    """The value can't be the path of a file or directory."""

    name = "charter.no-path"
    what = "{shown} stands there, which names no {kind}"
    do = "write the path of a {kind} at {path}"


class DuplicateError(ConfigKeyError):
    """Two tables or values have the same name."""

    name = "charter.twice"
    what = "{shown} stands there twice"
    do = "give each of {path} a name of its own"


class WindowRequiredError(ConfigKeyError):
    """A deduplicated request class does not say for how long workers recognize a repeat."""

    name = "charter.needs-window"
    what = "a referenced scheme needs a window, and {scheme} has none"
    do = 'write at {path} for how long its workers drop repeats, such as "6s", or make it repeatable'


class NotLoopbackError(ConfigKeyError):
    """A control address could be reached from other machines, although it asks for no credentials."""

    name = "charter.not-loopback"
    what = "{shown} stands there, which others reach, and nobody signs in there"
    do = 'write an address of the loopback, such as "127.0.0.1:7199", at {path}'


class UnreachableAddressError(ConfigKeyError):
    """The address by which the other members would send datagrams to this one can't be sent to."""

    name = "charter.not-reached"
    what = "{shown} stands there, to which no other member can send"
    do = "write at {path} the address, host:port, by which the others reach this one"


class TooSlowError(ConfigKeyError):
    """The wait for a direct answer leaves no time for indirect probes before the next probe is due."""

    name = "charter.patience"
    what = "patience {patience} leaves no time for asking others within a beat of {beat}"
    do = "write less than half of the beat, and more than 0, at {path}"


class NameRequiredError(ConfigKeyError):
    """A dispatcher of a fleet of several still has the default name."""

    name = "charter.needs-name"
    what = 'with a fleet each dispatcher needs a name of its own, and "pathsaddle" is what all have'
    do = "write a name that no other member has at {path}"


class InvalidConfigError(Error):
    """A file can't be used. Printed, it is one line for each thing that is wrong.

    Attributes:
        faults: All that is wrong in the file, in the order in which it was found; at least one.
    """

    name = "charter.faulty"
    what = "{count} things are wrong in {file}: {all}"
    do = "mend them all, then `pathsaddle check {file}`"

    def __init__(self, faults: list[ConfigKeyError]) -> None:
        super().__init__(count=len(faults), file=faults[0].file, all="; ".join(map(str, faults)))
        self.faults = faults
        self.args = (faults,)  # by which a copy is made in another process

    def __str__(self) -> str:
        return "\n".join(map(str, self.faults))


class InvalidValueError(Exception):
    """A contradiction within a table, as the table describes it, which knows neither its file nor its path.

    Attributes:
        key: The key within the table; empty where the table as a whole is wrong.
        error_type: The class of the error that the operator is shown.
        what: What is wrong, instead of the class's own text.
        do: What the operator can do, instead of the class's own text.
        fields: The values of the fields in the class's texts.
    """

    def __init__(
        self, key: str, error_type: type[ConfigKeyError], what: str = "", do: str = "", /, **fields: object
    ) -> None:
        super().__init__(key, what)
        self.key, self.error_type, self.what, self.do, self.fields = key, error_type, what, do, fields

    def of(self, file: str, path: str) -> ConfigKeyError:
        """Makes the error for a table that stands at `path` of `file`."""
        return self.error_type(file, join_key(path, self.key) or NO_KEY, self.what, self.do, **self.fields)
