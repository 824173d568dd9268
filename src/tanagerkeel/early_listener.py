"""
The socket that callers connect to, opened before the program is loaded.

Load pattern: all nodes of a fleet lose power and start at the same moment. To load the
program takes a small VM a second or more, and until then each connection to it is
refused. A caller tries a few times at once, and loses its request although the node is
about to serve. A socket that listens from the first moment keeps these connections
waiting until the node accepts them.

It imports nothing that takes long to load.
"""

import json
import pathlib
import socket

__all__ = ["BACKLOG", "bind_tcp", "listen_early"]

# Limit of connections that wait to be accepted.
BACKLOG = 1_024
# Processor time of VMs on which a node listens early, in cores. Below the upper bound
# it takes a second or longer to load the program; a faster VM is ready before callers
# that were refused have given up. Below the lower bound it takes two seconds or longer:
# a caller would give up while its connection waits, and is better refused, as it may
# reach a node that is ready.
MIN_CPU = 0.3
MAX_CPU = 0.6


def bind_tcp(host: str, port: int) -> socket.socket:
    """
    Return a bound, non-blocking socket that does not listen yet.

    :raises OSError: when the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio turns Nagle's algorithm off only for sockets with an explicit IPPROTO_TCP.
    # With it, a chunk would wait until the client acknowledges the one before.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    bound.setblocking(False)
    return bound


def listen_early(settings: pathlib.Path) -> socket.socket | None:
    """
    Return a socket that listens where the settings say that callers connect.

    It is None where the VM starts fast or very slowly, and where the settings or the
    address can't be used: whoever validates the settings reports what is wrong.

    :param settings: the node's settings, a JSON file.
    """
    try:
        if not settings.is_file():
            return None
        fields = json.loads(settings.read_bytes())
        cpu = fields.get("cpu_share", 1.0) * fields.get("cpu_cores", 1.0)
        if not MIN_CPU <= cpu < MAX_CPU:
            return None
        host, _, port = fields["callers_listen"].rpartition(":")
        listening = bind_tcp(host, int(port))
        listening.listen(BACKLOG)
    except (OSError, ValueError, KeyError, TypeError, AttributeError, OverflowError):
        return None
    return listening
