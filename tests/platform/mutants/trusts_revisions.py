"""A node with an injected fault: it compares revisions of two eras of the store."""

from tanagerkeel.relay import BackendTable
from tests.platform.mutants.start import start

BackendTable.begin_store_era = lambda table, now: None
start()
