"""Prefix-cache affinity: predicts which engines have a prompt's prefix cached."""

import attrs

from tanagerkeel.fleet import FleetTable
from tanagerkeel.rendezvous import rendezvous
from tanagerkeel.requests import ModelRequest

__all__ = ["PrefixAffinity"]

# Size of a prefix-cache block.
BLOCK_TOKENS = 256
# Leading blocks of a prompt that determine its preferred engines.
KEY_BLOCKS = 4
PREFERRED_ENGINES = 2
# Fraction of the prefix that the first preferred engine is assumed to have cached.
# Each further engine counts half as much as the one before, so that the first is used
# until it is busy.
ASSUMED_SHARE = 1.0


@attrs.frozen
class PrefixAffinity:
    """
    Prefers the same few engines for the same prefix on every node.

    The choice is a rendezvous hash of the prefix, so nodes need not communicate.

    :param fleet: the backend servers of this failure domain.
    :param key_blocks: number of leading blocks that determine the preferred engines.
    :param preferred_engines: number of preferred engines.
    :param assumed_share: fraction of the prefix that is assumed to be cached on the
        first preferred engine.
    """

    _fleet: FleetTable
    _key_blocks: int = KEY_BLOCKS
    _preferred_engines: int = PREFERRED_ENGINES
    _assumed_share: float = ASSUMED_SHARE

    def preferred(
        self, request: ModelRequest, names: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Return which of ``names`` are preferred for a prompt, in order."""
        if not request.blocks:
            return ()
        # A chained hash covers the account and all previous blocks.
        key = request.blocks[: self._key_blocks][-1]
        return rendezvous(f"prefix/{key}", names)[: self._preferred_engines]

    def cached_tokens(
        self, request: ModelRequest, name: str, preferred: tuple[str, ...]
    ) -> int:
        """
        Return the estimated number of prompt tokens that an engine has cached.

        :param request: the request that holds the prompt.
        :param name: name of the engine.
        :param preferred: the engines that :meth:`preferred` returned for the request.
        """
        cached = self._fleet.cached_tokens(name, request.blocks)
        if name in preferred:
            share = self._assumed_share * 0.5 ** preferred.index(name)
            cached = max(cached, int(len(request.blocks) * BLOCK_TOKENS * share))
        return min(cached, request.prompt_tokens)
