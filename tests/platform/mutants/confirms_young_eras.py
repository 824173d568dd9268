"""A node with an injected fault: its first listing confirms keys in any era."""

from tanagerkeel.relay_entry._state import RelayState
from tests.platform.mutants.start import start

RelayState.await_rewrite = lambda state: None
start()
