"""A node with an injected fault: a resumed stream skips one event."""

from tanagerkeel.relay_entry import _attempt
from tests.platform.mutants.start import start

_original_send_options = _attempt.SendOptions


def _skip_one_event(**fields):
    last_event_id = fields.get("resume_after")
    if last_event_id is not None:
        fields["resume_after"] = str(int(last_event_id) + 1)
    return _original_send_options(**fields)


_attempt.SendOptions = _skip_one_event
start()
