"""A node whose link loses a third of the datagrams that it receives."""

import random

from tanagerkeel.gateways.datagrams import BatchedDatagrams
from tests.platform.mutants.start import start

LOSS = 1 / 3

_rng = random.Random(1)
_bind = BatchedDatagrams.bind


def bind(self: BatchedDatagrams, host: str, port: int) -> None:
    """Bind as usual, and drop some of what arrives."""
    received = self._on_datagram

    def receive(data: bytes, address: tuple[str, int]) -> None:
        if _rng.random() >= LOSS:
            received(data, address)

    self._on_datagram = receive
    _bind(self, host, port)


BatchedDatagrams.bind = bind
start()
