"""A node with an injected fault: it goes on serving routes that were dropped."""

import attrs

from tanagerkeel.relay import RelayConfiguration
from tanagerkeel.relay_entry._state import RelayState
from tests.platform.mutants.start import start

adopt = RelayState._adopt_configuration


def adopt_with_old_routes(
    state: RelayState, new: RelayConfiguration, revision: int
) -> None:
    """Adopt a configuration together with the routes that it doesn't have any more."""
    old = state.configuration
    names = {route.name for route in new.routes}
    kept = [r for r in old.routes if r.name not in names] if old else []
    adopt(state, attrs.evolve(new, routes=(*new.routes, *kept)), revision)


RelayState._adopt_configuration = adopt_with_old_routes
start()
