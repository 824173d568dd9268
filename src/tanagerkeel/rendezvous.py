"""Rendezvous hashing: all nodes make the same choice without communicating."""

import xxhash

__all__ = ["rendezvous"]


def rendezvous(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """
    Return ``names`` in their rendezvous-hashing order for ``key``.

    Every node computes the same order, and removing a name doesn't change the relative
    order of the others.

    :param key: what the choice is for; different keys give independent orders.
    :param names: the names to choose among.
    """
    return tuple(
        sorted(names, key=lambda n: (-xxhash.xxh64_intdigest(f"{key}|{n}".encode()), n))
    )
