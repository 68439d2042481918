"""Endpoints as text, and the addresses that they stand for.

A host of ASCII is handed to the system as bytes.  As text, the interpreter would first import its codec for
international names, whatever the host is, on the thread that connects first: an import and a shared library
loaded while the other threads of a start are running.
"""

from __future__ import annotations

import socket
from typing import Any

AddressInfo = tuple[int, int, int, str, Any]  # as socket.getaddrinfo gives it


def parse_endpoint(text: str) -> tuple[str, int]:
    """host:port, with brackets round an IPv6 host; ValueError for anything else."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not host:port: {text!r}")
    return host.strip("[]"), int(port)


def resolve(host: str, port: int, flags: int = 0) -> list[AddressInfo]:
    """The TCP addresses of a host; OSError where there is none."""
    name = host.encode() if host.isascii() else host
    found: list[AddressInfo] = list(socket.getaddrinfo(name, port, type=socket.SOCK_STREAM, flags=flags))
    return found
