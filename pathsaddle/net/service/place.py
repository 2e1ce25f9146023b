"""An address that can't be had, in an operator's words. Loaded only then: a start that goes well needs none of it."""

from __future__ import annotations

import errno
import socket

from pathsaddle.errors import Error, why


class Taken(Error):
    name = "address.taken"
    what = "{file}: {key}: {address} is in use by another process"
    do = "end that process (`ss -lnp` names it), or write another port at {key} in {file}"


class NotOurs(Error):
    name = "address.not-ours"
    what = "{file}: {key}: no interface of this machine has the address {address}"
    do = "write an address of this machine, or 127.0.0.1, at {key} in {file}"


class Forbidden(Error):
    name = "address.forbidden"
    what = "{file}: {key}: this user may not have {address}"
    do = "write a port above 1023 at {key} in {file}"


class NoHost(Error):
    name = "address.no-host"
    what = "{file}: {key}: no host is known by the name in {address}"
    do = "write an IP address in its place at {key} in {file}"


class NoAddress(Error):
    name = "address.none"
    what = "{file}: {key}: {address!r} is no address"
    do = "write host:port at {key} in {file}"


class Unusable(Error):
    name = "address.unusable"
    what = "{file}: {key}: {address} can't be had: {why}"
    do = "write another address at {key} in {file}"


KINDS = {
    errno.EADDRINUSE: Taken,
    errno.EADDRNOTAVAIL: NotOurs,
    errno.EACCES: Forbidden,
    errno.EPERM: Forbidden,
}


def unhad(fault: Exception, key: str, address: str, file: str) -> Error:
    """Why a listener could not have its address; `key` as it stands in the file."""
    kind: type[Error] = Unusable
    if isinstance(fault, socket.gaierror):
        kind = NoHost
    elif isinstance(fault, OSError):
        kind = KINDS.get(fault.errno or 0, Unusable)
    elif isinstance(fault, ValueError):
        kind = NoAddress
    return kind(file=file, key=key, address=address, why=why(fault))
