"""Whether a text is an address of the form host:port.

`config/validation.py` calls it for each key that is declared as an address. It resolves no names and opens no
sockets.
"""

from __future__ import annotations

import re

MAX_PORT = (1 << 16) - 1
OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
IPV4 = re.compile(OCTET + r"([.]" + OCTET + "){3}")
# How much of a wrong part is quoted: enough to recognize it in the file.
QUOTED_PORT_CHARACTERS, QUOTED_HOST_CHARACTERS = 20, 40


def address_problem(text: str, ipv4_only: bool = False) -> str:
    """Says why a text is no address.

    Args:
        text: What stands in the file, host:port.
        ipv4_only: Whether an IPv6 host is refused.

    Returns:
        The reason, to stand after "no address:"; empty where the text is an address or is empty itself.
    """
    if not text:
        return ""
    host, colon, port = text.rpartition(":")
    if not colon:
        return "it names no port"
    if not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > MAX_PORT:
        return f"{port[:QUOTED_PORT_CHARACTERS]!r} is no port of 0 to 65535"
    return _host_problem(host, ipv4_only)


def _host_problem(host: str, ipv4_only: bool) -> str:
    if ":" in host and not re.fullmatch(r"\[[0-9A-Fa-f:.]+\]", host):
        return "an IPv6 host stands in brackets"
    quoted = repr(host[:QUOTED_HOST_CHARACTERS])
    if not re.fullmatch(r"[A-Za-z0-9_.-]+|\[.+\]", host):
        return f"{quoted} is no host"
    if ipv4_only and ":" in host:
        return "it is none of IPv4"
    if re.fullmatch(r"[0-9.]+", host) and not IPV4.fullmatch(host):
        return f"{quoted} is no IPv4 address"
    return ""
