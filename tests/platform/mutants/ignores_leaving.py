"""A node with an injected fault: it ignores announcements that an engine leaves."""

from tanagerkeel.relay_entry._state import RelayState
from tests.platform.mutants.start import start

RelayState._record_leaving = lambda state, server, *_: None
start()
