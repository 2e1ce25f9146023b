"""Operator-facing errors for a listen address that cannot be bound.

The module is imported only after a bind has failed; a successful start never loads it.
"""

from __future__ import annotations

import errno
import socket

from pathsaddle.errors import Error, why


class Taken(Error):
    """Another process is bound to the address."""

    name = "address.taken"
    what = "{file}: {key}: {address} is in use by another process"
    do = "end that process (`ss -lnp` names it), or write another port at {key} in {file}"


class NotOurs(Error):
    """No interface of this machine has the address."""

    name = "address.not-ours"
    what = "{file}: {key}: no interface of this machine has the address {address}"
    do = "write an address of this machine, or 127.0.0.1, at {key} in {file}"


class Forbidden(Error):
    """The user lacks the permission to bind to the address, for example to a port below 1024."""

    name = "address.forbidden"
    what = "{file}: {key}: this user may not have {address}"
    do = "write a port above 1023 at {key} in {file}"


class NoHost(Error):
    """The host name in the address does not resolve."""

    name = "address.no-host"
    what = "{file}: {key}: no host is known by the name in {address}"
    do = "write an IP address in its place at {key} in {file}"


class NoAddress(Error):
    """The text does not have the form host:port."""

    name = "address.none"
    what = "{file}: {key}: {address!r} is no address"
    do = "write host:port at {key} in {file}"


class Unusable(Error):
    """Binding failed for another reason."""

    name = "address.unusable"
    what = "{file}: {key}: {address} can't be had: {why}"
    do = "write another address at {key} in {file}"


ERRORS_BY_ERRNO = {
    errno.EADDRINUSE: Taken,
    errno.EADDRNOTAVAIL: NotOurs,
    errno.EACCES: Forbidden,
    errno.EPERM: Forbidden,
}


def bind_error(fault: Exception, key: str, address: str, file: str) -> Error:
    """Return the operator-facing error for a listener that could not be bound.

    Args:
        fault: The exception that resolving or binding raised.
        key: The configuration key, as it is written in the file.
        address: The address at that key.
        file: The name of the configuration file.
    """
    error_class: type[Error] = Unusable
    if isinstance(fault, socket.gaierror):
        error_class = NoHost
    elif isinstance(fault, OSError):
        error_class = ERRORS_BY_ERRNO.get(fault.errno or 0, Unusable)
    elif isinstance(fault, ValueError):
        error_class = NoAddress
    return error_class(file=file, key=key, address=address, why=why(fault))
