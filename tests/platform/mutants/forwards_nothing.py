"""A node with an injected fault: it forwards no request to a peer."""

from tanagerkeel.relay_entry._state import RelayState
from tests.platform.mutants.start import start

RelayState.peers_that_reach = lambda state, service: ()
start()
