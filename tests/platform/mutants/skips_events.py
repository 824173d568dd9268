"""A node with a fault put in on purpose: a resumed stream misses an event."""

from tanagerkeel.relay_entry import _attempt
from tests.platform.mutants.start import start

_options = _attempt.SendOptions


def _one_further(**fields):
    last = fields.get("resume_after")
    if last is not None:
        fields["resume_after"] = str(int(last) + 1)
    return _options(**fields)


_attempt.SendOptions = _one_further
start()
