"""A node with an injected fault: open connections keep their limit on headers."""

from tanagerkeel.gateways.http_protocol import BoundedProtocol
from tests.platform.mutants.start import start

BoundedProtocol.set_limits = lambda protocol, policy, keep_alive_s: None
start()
