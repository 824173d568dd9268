"""A node with an injected fault: it passes on "not run" that no engine has stated."""

from tanagerkeel.relay import ReplyHead
from tests.platform.mutants.start import start

ReplyHead.promises_unstated = False
start()
