"""What reaches an operator: one family of errors, each with a stable name, what happened, and what can be done.

This module imports nothing: the platform's program loads it too. Each package states its own errors beside the code
that raises them, as subclasses; docs/errors.md lists them all, and a test holds page and code together. An error that
only steers our own code (a datagram refused, a store that another process took over) is none of these and is caught
where it was meant for.

    class Taken(Error):
        name = "fleet.taken"
        what = "{file}: fleet.listen: {address} is in use by another process"
        do = "end that process, or write another port at fleet.listen in {file}"

    raise Taken(file=file, address=address)
"""

CATALOGUE: dict[str, type["Error"]] = {}  # by name, of all modules loaded until now
FINDING, USAGE = 1, 2  # end codes: what was asked for can't be had now; what was told is wrong


class Error(Exception):
    """What an operator is told.

    name: stable, `subsystem.what-is-wrong`; scripts and pages go by it. what: what happened. do: what can be done, one
    sentence that names the very key, file, member or command. code: the process's end code where it ends by it.

    A subclass states `what` and `do` once, with {fields} that whoever raises it fills in; where the words differ from
    case to case they are handed in whole instead, as `Error(what, do)`, and `name` as a third where it does, too.
    """

    name = ""
    what = ""
    do = ""
    code = USAGE

    def __init_subclass__(cls, **more: object) -> None:
        super().__init_subclass__(**more)
        # A base of several states no name of its own: nobody raises it.
        if "name" in cls.__dict__ and CATALOGUE.setdefault(cls.name, cls).__qualname__ != cls.__qualname__:
            raise TypeError(f"two errors are called {cls.name}")

    def __init__(self, what: str = "", do: str = "", name: str = "", /, **told: object) -> None:
        self.what = what or type(self).what.format(**told)
        self.do = do or type(self).do.format(**told)
        self.name = name or type(self).name
        self.told = told
        super().__init__(
            self.what, self.do, self.name
        )  # so that it is the same after a way between processes

    def __str__(self) -> str:
        return f"{self.what}; {self.do} [{self.name}]"


def why(fault: BaseException) -> str:
    """In words what the kernel, or a library, said: without number, class or path, which the sentence around it has."""
    told = getattr(fault, "strerror", None) or str(fault) or type(fault).__name__
    return told[:1].lower() + told[1:] if told[1:2].islower() else told


def access(fault: BaseException, path: object, folder: object = "") -> str:
    """What can be done where a file can't be had: by what the kernel said of it. `folder`: where it is to be made."""
    if isinstance(fault, FileNotFoundError):
        return (
            f"make the folder {folder}"
            if folder
            else f"give the path of a file that is there instead of {path}"
        )
    if isinstance(fault, PermissionError):
        return f"let the user who runs this have {folder or path} (chmod, chown), or name another"
    if isinstance(fault, NotADirectoryError):
        return f"name another path than {path}: a part of it that should be a folder is a file"
    if isinstance(fault, IsADirectoryError):
        return f"name a file instead of the folder {path}"
    if isinstance(fault, UnicodeError):
        return f"save {path} as text in UTF-8, or name another file"
    return f"see that {folder or path} can be had by the user who runs this, or name another"
