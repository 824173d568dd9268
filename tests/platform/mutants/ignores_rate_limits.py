"""A node with an injected fault: it ignores the limits that engines name."""

from tanagerkeel.relay_entry._state import RelayState
from tests.platform.mutants.start import start

RelayState._record_rate_limit = lambda state, server, value, sent_s: None
start()
