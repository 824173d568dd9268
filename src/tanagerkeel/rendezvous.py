"""Rendezvous order: a choice that all nodes agree on without a message."""

import xxhash

__all__ = ["rendezvous"]


def rendezvous(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """
    Return ``names`` in the rendezvous order of ``key``.

    Every node computes the same order, and a name that goes away moves no other.
    """
    return tuple(
        sorted(names, key=lambda n: (-xxhash.xxh64_intdigest(f"{key}|{n}".encode()), n))
    )
