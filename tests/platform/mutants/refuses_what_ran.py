"""A node with an injected fault: it reports requests that may have run as not run."""

from tanagerkeel.errors import ResultCode
from tanagerkeel.relay_entry import _runner
from tests.platform.mutants.start import start

_original_give_up = _runner.RelayRunner._give_up


async def _give_up_as_not_run(runner, run, code, reason, refusal=None):
    run.may_have_run = False
    await _original_give_up(runner, run, ResultCode.BACKEND_REFUSED, reason, refusal)


_runner.RelayRunner._give_up = _give_up_as_not_run
start()
