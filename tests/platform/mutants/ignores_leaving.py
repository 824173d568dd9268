"""A node with an injected fault: it ignores announcements that an engine leaves."""

from tanagerkeel.relay_entry._state import RelayState
from tests.platform.mutants.start import start

RelayState.record_leaving = lambda state, *_: None
start()
