"""A node with an injected fault: it doesn't tell engines the rank of a request."""

from tanagerkeel.relay_entry import _attempt
from tests.platform.mutants.start import start

_original_send_options = _attempt.SendOptions
_attempt.SendOptions = lambda **fields: _original_send_options(
    **{**fields, "priority": None}
)
start()
