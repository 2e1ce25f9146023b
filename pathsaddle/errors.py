"""The base class of the errors that reach an operator: each has a stable name, a message and a remedy.

This module imports nothing, since the platform's program loads it too. Each package defines its own errors as
subclasses beside the code that raises them; docs/errors.md lists them all, and a test compares that page with
the code. Exceptions that only control our own code (a rejected datagram, a store that another process took
over) are not subclasses and are caught by the code that expects them.

    class Taken(Error):
        name = "fleet.taken"
        what = "{file}: fleet.listen: {address} is in use by another process"
        do = "end that process, or write another port at fleet.listen in {file}"

    raise Taken(file=file, address=address)
"""

CATALOGUE: dict[str, type["Error"]] = {}  # all error classes of the loaded modules, by name
FINDING, USAGE = 1, 2  # exit codes: the request can't be met now; the input is wrong


class Error(Exception):
    """An error that is reported to an operator.

    A subclass defines `what` and `do` once, with {fields} that the raising code fills in. Texts that
    differ from case to case are arguments instead: `Error(what, do)`, and `name` as a third if needed.

    Attributes:
        name: stable, `subsystem.what-is-wrong`; scripts and documentation pages refer to it.
        what: the message: what failed.
        do: the remedy: one sentence that names the exact key, file, member or command.
        code: the exit code of a process that ends with this error.
    """

    name = ""
    what = ""
    do = ""
    code = USAGE

    def __init_subclass__(cls, **options: object) -> None:
        super().__init_subclass__(**options)
        # An abstract base of several errors has no name of its own and is never raised.
        if "name" in cls.__dict__ and CATALOGUE.setdefault(cls.name, cls).__qualname__ != cls.__qualname__:
            raise TypeError(f"two error classes have the name {cls.name}")

    def __init__(self, what: str = "", do: str = "", name: str = "", /, **fields: object) -> None:
        self.what = what or type(self).what.format(**fields)
        self.do = do or type(self).do.format(**fields)
        self.name = name or type(self).name
        self.told = fields
        # Unpickling passes these arguments to the constructor, so the error can cross a process boundary.
        super().__init__(self.what, self.do, self.name)

    def __str__(self) -> str:
        return f"{self.what}; {self.do} [{self.name}]"


def why(error: BaseException) -> str:
    """Return the message of an operating system or library error, to be embedded in a sentence.

    The message has no error number, class or path, and begins with a lower-case letter unless its first word
    is an acronym.
    """
    message = getattr(error, "strerror", None) or str(error) or type(error).__name__
    return message[:1].lower() + message[1:] if message[1:2].islower() else message


def access(error: BaseException, path: object, folder: object = "") -> str:
    """Return the remedy for a file that can't be accessed, by the error's class.

    Args:
        error: the error that the access raised.
        path: the file.
        folder: the folder in which the file was to be created.
    """
    if isinstance(error, FileNotFoundError):
        return (
            f"make the folder {folder}"
            if folder
            else f"give the path of a file that is there instead of {path}"
        )
    if isinstance(error, PermissionError):
        return f"let the user who runs this have {folder or path} (chmod, chown), or name another"
    if isinstance(error, NotADirectoryError):
        return f"name another path than {path}: a part of it that should be a folder is a file"
    if isinstance(error, IsADirectoryError):
        return f"name a file instead of the folder {path}"
    if isinstance(error, UnicodeError):
        return f"save {path} as text in UTF-8, or name another file"
    return f"check that the user who runs this can access {folder or path}, or name another"
