"""A node with a fault put in on purpose: it says "not run" of what may have run."""

from tanagerkeel.errors import ResultCode
from tanagerkeel.relay_entry import _runner
from tests.platform.mutants.start import start

_give_up = _runner.RelayRunner._give_up


async def _refuse(runner, run, code, reason, refusal=None):
    run.unsure = False
    await _give_up(runner, run, ResultCode.BACKEND_REFUSED, reason, refusal)


_runner.RelayRunner._give_up = _refuse
start()
