"""Keep the node's configuration up to date, from the platform and from peers."""

import asyncio

import attrs

from tanagerkeel.configuration import (
    Configuration,
    ConfigurationAnswer,
    ConfigurationQuery,
    PatchLog,
    apply_patch,
    configuration_digest,
    decode_document,
    encode_document,
    make_patch,
)
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.errors import TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.peers import PeerUnreachable, Received
from tanagerkeel.gateways.platform import PlatformUnavailable, StoreEntry

__all__ = ["CONFIGURATION_KEY", "ConfigurationTask"]

CONFIGURATION_KEY = "configuration"
WATCH_MS = 10_000
# Just long enough to ask whether there is anything newer.
LOOK_MS = 1
SECOND_LOOK_S = 5.0
OTHERS_LOOK_S = 10.0
RETRY_S = 1.0
TURN_S = 0.5
FETCH_TIMEOUT_S = 3.0
# Another failure domain is asked only when this one does not learn it by itself.
REMOTE_DELAY_S = 5.0
QUEUE_MESSAGES = 64
INLINE_BYTES = 32_000


@attrs.frozen
class _Offer:
    address: str
    revision: int


@attrs.define
class ConfigurationTask:
    """
    One node of a failure domain watches the platform's key, a second one looks
    often, and the rest look seldom and learn of a change from their peers.

    The watch's turn moves on with each revision, since it costs the whole
    document, while a change between nodes costs only what differs.

    :param context: the node's gateways and state.
    """

    _context: NodeContext
    _patches: PatchLog = attrs.field(factory=PatchLog)
    _inbox: asyncio.Queue = attrs.field(factory=lambda: asyncio.Queue(QUEUE_MESSAGES))
    _offers: "asyncio.Queue[_Offer]" = attrs.field(
        factory=lambda: asyncio.Queue(QUEUE_MESSAGES)
    )
    _remote_offers: "asyncio.Queue[_Offer]" = attrs.field(
        factory=lambda: asyncio.Queue(QUEUE_MESSAGES)
    )
    _encoded: tuple[int, int, bytes] = (0, 0, b"")
    _rejected: int = 0
    _remote_revision: int = 0
    _reachable: bool = True
    _looked_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        if self._context.bus is not None:
            self._context.bus.subscribe(ConfigurationQuery, self._inbox)

    async def run(self) -> None:
        """Watch, fetch and answer until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._look_all())
            group.create_task(self._fetch_all())
            group.create_task(self._delay_all())
            group.create_task(self._answer_all())

    def offered(self, address: str, revision: int) -> None:
        """Take in that a node of this failure domain has a revision."""
        if revision > self._context.configuration.revision and not self._offers.full():
            self._offers.put_nowait(_Offer(address, revision))

    def offered_remotely(self, address: str, revision: int) -> None:
        """Take in that a node of another failure domain has a revision."""
        behind = revision > self._context.configuration.revision
        if not behind or self._remote_revision >= revision:
            return
        if not self._remote_offers.full():
            self._remote_revision = revision
            self._remote_offers.put_nowait(_Offer(address, revision))

    async def _look_all(self) -> None:
        while True:
            rank = self._rank()
            try:
                if rank == 0:
                    await self._look(WATCH_MS)
                elif self._is_due(rank):
                    await self._look(LOOK_MS)
            except PlatformUnavailable as error:
                self._note_unreachable(error.reason)
                await self._context.clock.sleep(RETRY_S)
            if rank != 0:
                await self._context.clock.sleep(TURN_S)

    def _rank(self) -> int:
        context = self._context
        nodes = context.members.view.ranked(f"watch/{context.configuration.revision}")
        names = [node.node_id for node in nodes]
        return names.index(context.settings.node_id)

    def _is_due(self, rank: int) -> bool:
        fresh = self._context.configuration.revision == 0
        interval_s = SECOND_LOOK_S if rank == 1 else OTHERS_LOOK_S
        interval_s = RETRY_S if fresh else interval_s
        return self._context.clock.monotonic() - self._looked_s >= interval_s

    async def _look(self, wait_ms: int) -> None:
        self._looked_s = self._context.clock.monotonic()
        after = max(self._context.configuration.revision, self._rejected)
        platform = self._context.platform
        entry = await platform.watch(CONFIGURATION_KEY, after, wait_ms)
        if entry is not None:
            await self._take_entry(entry)
        if not self._reachable:
            self._reachable = True
            await self._note_older()

    async def _take_entry(self, entry: StoreEntry) -> None:
        try:
            document = await _decode(entry.value)
        except TanagerkeelError as error:
            self._rejected = max(self._rejected, entry.revision)
            log(
                LogEvent.CONFIGURATION_REJECTED,
                revision=entry.revision,
                error=error.detail,
            )
            return
        self._adopt(entry.revision, document)

    async def _note_older(self) -> None:
        entry = await self._context.platform.get(CONFIGURATION_KEY)
        found = entry.revision if entry is not None else 0
        if found < self._context.configuration.revision:
            log(
                LogEvent.CONFIGURATION_OLDER_IGNORED,
                revision=found,
                in_force=self._context.configuration.revision,
            )

    def _note_unreachable(self, reason: str) -> None:
        if self._reachable:
            log(LogEvent.PLATFORM_UNREACHABLE, error=reason)
        self._reachable = False

    async def _fetch_all(self) -> None:
        while True:
            offer = await self._offers.get()
            if offer.revision <= self._context.configuration.revision:
                continue
            try:
                await self._fetch(offer.address)
            except PeerUnreachable:
                continue
            except TanagerkeelError as error:
                log(
                    LogEvent.CONFIGURATION_REJECTED,
                    revision=offer.revision,
                    error=error.detail,
                )

    async def _delay_all(self) -> None:
        while True:
            offer = await self._remote_offers.get()
            await self._context.clock.sleep(REMOTE_DELAY_S)
            self.offered(offer.address, offer.revision)

    async def _fetch(self, address: str) -> None:
        answer = await self._ask(address, self._context.configuration.revision)
        if answer.revision <= self._context.configuration.revision:
            # The node's own look was faster.
            return
        document = self._patched(answer)
        if document is None and not answer.document:
            answer = await self._ask(address, 0)
        if document is None and answer.document:
            document = await _decode(answer.document)
        if document is not None:
            self._adopt(answer.revision, document, answer)

    async def _ask(self, address: str, revision: int) -> ConfigurationAnswer:
        return await self._context.bus.call(
            address, ConfigurationQuery(revision), ConfigurationAnswer, FETCH_TIMEOUT_S
        )

    def _patched(self, answer: ConfigurationAnswer) -> Configuration | None:
        current = self._context.configuration.current
        if current is None or not answer.patches:
            return None
        # Another revision may have come into force since the question.
        if answer.patches[0].base_revision != current.revision:
            return None
        document = current.configuration
        try:
            for patch in answer.patches:
                document = apply_patch(document, patch)
        except TanagerkeelError:
            return None
        return document if configuration_digest(document) == answer.digest else None

    def _adopt(
        self,
        revision: int,
        document: Configuration,
        answer: ConfigurationAnswer | None = None,
    ) -> None:
        before = self._context.configuration.current
        if not self._context.configuration.adopt(revision, document):
            return
        if answer is not None and answer.patches:
            for patch in answer.patches:
                self._patches.add(patch)
        elif before is not None:
            patch = make_patch(
                before.configuration, document, before.revision, revision
            )
            self._patches.add(patch)

    async def _answer_all(self) -> None:
        while True:
            received = await self._inbox.get()
            await self._context.bus.reply(received, self._answer(received))

    def _answer(self, received: Received[ConfigurationQuery]) -> ConfigurationAnswer:
        current = self._context.configuration.current
        if current is None:
            return ConfigurationAnswer(0)
        if self._encoded[0] != current.revision:
            configuration = current.configuration
            digest = configuration_digest(configuration)
            self._encoded = (current.revision, digest, b"")
        revision, digest, document = self._encoded
        patches = self._patches.since(received.message.revision)
        if patches:
            return ConfigurationAnswer(revision, digest, patches)
        if not document:
            document = encode_document(current.configuration)
            self._encoded = (revision, digest, document)
        return ConfigurationAnswer(revision, digest, (), document)


async def _decode(data: bytes) -> Configuration:
    if len(data) <= INLINE_BYTES:
        return decode_document(data)
    # A large document takes a while, in which requests go on.
    return await asyncio.to_thread(decode_document, data)
