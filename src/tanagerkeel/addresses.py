"""Parsing of ``IP:PORT`` addresses in settings and messages."""

import ipaddress

__all__ = ["split_address"]

MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """
    Return the IP address and port of ``IP:PORT``.

    :raises ValueError: when the IP address or the port is not valid.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host)
    if not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"{address!r} has no valid port")
    return host, int(port)
