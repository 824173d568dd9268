"""A node with an injected fault: it waits for a silent watch until that times out."""

import asyncio

from tanagerkeel.relay_entry._watcher_exchange import WatcherExchange
from tests.platform.mutants.start import start


async def _wait_for_ever(exchange, patience_s):
    await asyncio.Event().wait()


WatcherExchange.wait_until_behind = _wait_for_ever
start()
