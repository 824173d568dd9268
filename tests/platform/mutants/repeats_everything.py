"""A node with a fault put in on purpose: it sends again whatever was lost."""

from tanagerkeel.relay_entry._run import RelayRun
from tests.platform.mutants.start import start

RelayRun.repeatable = property(lambda run: True)
RelayRun.sends_left = property(lambda run: 3 - run.sends)
start()
