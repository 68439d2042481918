"""Parsing of endpoints and resolving of their addresses.

ASCII host names are passed to getaddrinfo as bytes.  For text, the interpreter would import its IDNA codec on
the thread that connects first, which loads a shared library while the program's other threads are starting.
"""

from __future__ import annotations

import socket
from typing import Any

AddressInfo = tuple[int, int, int, str, Any]  # an entry of socket.getaddrinfo()


def parse_endpoint(text: str) -> tuple[str, int]:
    """Split host:port, with brackets around an IPv6 host; ValueError for anything else."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not host:port: {text!r}")
    return host.strip("[]"), int(port)


def resolve(host: str, port: int, flags: int = 0) -> list[AddressInfo]:
    """The TCP addresses of a host; OSError if there are none."""
    name = host.encode() if host.isascii() else host
    found: list[AddressInfo] = list(socket.getaddrinfo(name, port, type=socket.SOCK_STREAM, flags=flags))
    return found
