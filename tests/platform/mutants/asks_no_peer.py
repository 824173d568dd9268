"""A node with an injected fault: it takes its own failed calls for an outage."""

from tanagerkeel.relay_entry._store_task import StoreTask
from tests.platform.mutants.start import start


async def _ask_nobody(task):
    return


StoreTask._ask_peers = _ask_nobody
start()
