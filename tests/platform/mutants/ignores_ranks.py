"""A node with an injected fault: what waits goes first in, first out."""

from tanagerkeel.queueing import WaitingQueue
from tests.platform.mutants.start import start

WaitingQueue._in_order = lambda queue: iter(
    sorted(queue._entries, key=lambda request: request.arrived_s)
)
start()
