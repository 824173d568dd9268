"""A node with an injected fault: it tells once which requests crash engines."""

from tanagerkeel.quarantine import Quarantine
from tanagerkeel.relay_entry._quarantine_exchange import QuarantineExchange
from tests.platform.mutants.start import start


async def learn_nothing(exchange: QuarantineExchange) -> None:
    """Return at once."""


QuarantineExchange._learn = learn_nothing
QuarantineExchange._contradict = lambda exchange, sender, record, now: None
Quarantine.digest = lambda quarantine, now: 0
start()
