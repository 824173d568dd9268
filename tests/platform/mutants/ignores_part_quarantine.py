"""A node with an injected fault: it sends requests whose prompt part is quarantined."""

from tanagerkeel.relay import PartQuarantine
from tests.platform.mutants.start import start

PartQuarantine.quarantined_part = lambda quarantine, parts, now: None
PartQuarantine.acquire_send = lambda quarantine, parts, now: None
PartQuarantine.may_send_again = lambda quarantine, parts, now: True
start()
