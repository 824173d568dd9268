"""A node with an injected fault: a stream that ends inside an event is complete."""

from tanagerkeel.relay_entry._response import ResponseRelay
from tests.platform.mutants.start import start

ResponseRelay._check_stream_end = lambda response, splitter, delimiter: None
start()
