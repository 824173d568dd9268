"""Which engines likely have a prompt's prefix cached, without any message."""

import attrs

from tanagerkeel.fleet import FleetTable
from tanagerkeel.rendezvous import rendezvous
from tanagerkeel.requests import ModelRequest

__all__ = ["PrefixAffinity"]

BLOCK_TOKENS = 256
KEY_BLOCKS = 4
PREFERRED_ENGINES = 2
# Part of the prefix that the first preferred engine is taken to have cached; each
# further one half as much, so that the first is used until it is busy.
ASSUMED_SHARE = 1.0


@attrs.frozen
class PrefixAffinity:
    """
    Prefers the same few engines for the same prefix on every node.

    :param fleet: the backend servers of this failure domain.
    :param key_blocks: leading prefix blocks that choose the engines.
    :param preferred_engines: how many engines are preferred.
    :param assumed_share: part of the prefix taken to be cached on the first.
    """

    _fleet: FleetTable
    _key_blocks: int = KEY_BLOCKS
    _preferred_engines: int = PREFERRED_ENGINES
    _assumed_share: float = ASSUMED_SHARE

    def preferred(
        self, request: ModelRequest, names: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Return the engines of ``names`` that are preferred for a prompt."""
        if not request.blocks:
            return ()
        # Chained hashes hold the account and all blocks before.
        key = request.blocks[: self._key_blocks][-1]
        return rendezvous(f"prefix/{key}", names)[: self._preferred_engines]

    def cached_tokens(
        self, request: ModelRequest, name: str, preferred: tuple[str, ...]
    ) -> int:
        """
        Return how many tokens of a prompt an engine likely has cached.

        :param request: the request.
        :param name: name of the engine.
        :param preferred: the preferred engines, in order.
        """
        known = self._fleet.cached_tokens(name, request.blocks)
        if name in preferred:
            share = self._assumed_share * 0.5 ** preferred.index(name)
            known = max(known, int(len(request.blocks) * BLOCK_TOKENS * share))
        return min(known, request.prompt_tokens)
