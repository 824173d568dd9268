"""A node with an injected fault: it retries requests that must not run twice."""

from tanagerkeel.relay_entry._run import RelayRun
from tests.platform.mutants.start import start

RelayRun.repeatable = property(lambda run: True)
RelayRun.sends_left = property(lambda run: 3 - run.sends)
start()
