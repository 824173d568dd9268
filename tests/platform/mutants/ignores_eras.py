"""A node with an injected fault: it doesn't notice that the store is an older copy."""

from tanagerkeel.gateways.platform import EraObserver
from tests.platform.mutants.start import start

EraObserver.observe = lambda observer, value: None
start()
