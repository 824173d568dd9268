"""A node with an injected fault: it sends requests with a quarantined section."""

from tanagerkeel.relay import SectionQuarantine
from tests.platform.mutants.start import start

SectionQuarantine.quarantined_section = lambda quarantine, sections, now: None
SectionQuarantine.acquire_send = lambda quarantine, sections, now: None
SectionQuarantine.may_send_again = lambda quarantine, sections, now: True
start()
