"""Keep the node's configuration up to date from the platform and from peers."""

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
WATCH_TIMEOUT_MS = 10_000
# A watch with this timeout only asks whether there is a newer revision.
POLL_TIMEOUT_MS = 1
# Poll intervals of the second node in the ranking, and of those after it.
SECOND_POLL_INTERVAL_S = 5.0
OTHERS_POLL_INTERVAL_S = 10.0
RETRY_INTERVAL_S = 1.0
LOOP_INTERVAL_S = 0.5
FETCH_TIMEOUT_S = 3.0
# Time for this failure domain to learn of a revision by itself before it asks a node
# of another one.
REMOTE_FETCH_DELAY_S = 5.0
MAX_QUEUED_MESSAGES = 64
# Larger documents are decoded in a thread.
MAX_INLINE_DECODE_BYTES = 32_000


@attrs.frozen
class _PeerRevision:
    address: str
    revision: int


@attrs.define
class ConfigurationTask:
    """
    Keeps the configuration of one node up to date, and answers its peers' queries.

    The first node in a ranking of the failure domain's nodes watches the platform's
    key, the second polls it often, and the others poll it seldom and learn of a change
    from their peers. The ranking depends on the revision in force, so that another node
    watches after each change: a watch returns the whole document, while peers send each
    other only a patch.

    :param context: the node's gateways and state.
    """

    _context: NodeContext
    _patches: PatchLog = attrs.field(factory=PatchLog)
    _inbox: asyncio.Queue = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_MESSAGES)
    )
    _peer_revisions: "asyncio.Queue[_PeerRevision]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_MESSAGES)
    )
    _remote_revisions: "asyncio.Queue[_PeerRevision]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_MESSAGES)
    )
    # Revision, digest and encoded document, which is empty until a peer needs it.
    _encoded_current: tuple[int, int, bytes] = (0, 0, b"")
    # The highest revision that was invalid; it is not requested again.
    _rejected_revision: int = 0
    # The highest revision queued from other failure domains; each is queued once.
    _latest_remote_revision: int = 0
    _reachable: bool = True
    _polled_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        if self._context.bus is not None:
            self._context.bus.subscribe(ConfigurationQuery, self._inbox)

    async def run(self) -> None:
        """Poll the platform, fetch from peers and answer them until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_all())
            group.create_task(self._fetch_all())
            group.create_task(self._delay_remote())
            group.create_task(self._answer_all())

    def record_peer_revision(self, address: str, revision: int) -> None:
        """Fetch a revision that a node of this failure domain has, if it is newer."""
        if (
            revision > self._context.configuration.revision
            and not self._peer_revisions.full()
        ):
            self._peer_revisions.put_nowait(_PeerRevision(address, revision))

    def record_remote_revision(self, address: str, revision: int) -> None:
        """Fetch a newer revision from another failure domain, after a delay."""
        behind = revision > self._context.configuration.revision
        if not behind or self._latest_remote_revision >= revision:
            return
        if not self._remote_revisions.full():
            self._latest_remote_revision = revision
            self._remote_revisions.put_nowait(_PeerRevision(address, revision))

    async def _poll_all(self) -> None:
        while True:
            rank = self._own_rank()
            try:
                if rank == 0:
                    await self._poll(WATCH_TIMEOUT_MS)
                elif self._is_due(rank):
                    await self._poll(POLL_TIMEOUT_MS)
            except PlatformUnavailable as error:
                self._record_unreachable(error.reason)
                await self._context.clock.sleep(RETRY_INTERVAL_S)
            if rank != 0:
                await self._context.clock.sleep(LOOP_INTERVAL_S)

    def _own_rank(self) -> int:
        context = self._context
        nodes = context.members.view.ranked(f"watch/{context.configuration.revision}")
        names = [node.node_id for node in nodes]
        return names.index(context.settings.node_id)

    def _is_due(self, rank: int) -> bool:
        unconfigured = self._context.configuration.revision == 0
        interval_s = SECOND_POLL_INTERVAL_S if rank == 1 else OTHERS_POLL_INTERVAL_S
        interval_s = RETRY_INTERVAL_S if unconfigured else interval_s
        return self._context.clock.monotonic() - self._polled_s >= interval_s

    async def _poll(self, timeout_ms: int) -> None:
        self._polled_s = self._context.clock.monotonic()
        after = max(self._context.configuration.revision, self._rejected_revision)
        platform = self._context.platform
        entry = await platform.watch(CONFIGURATION_KEY, after, timeout_ms)
        if entry is not None:
            await self._process_entry(entry)
        if not self._reachable:
            self._reachable = True
            await self._log_older_revision()

    async def _process_entry(self, entry: StoreEntry) -> None:
        try:
            document = await _decode(entry.value)
        except TanagerkeelError as error:
            self._rejected_revision = max(self._rejected_revision, entry.revision)
            log(
                LogEvent.CONFIGURATION_REJECTED,
                revision=entry.revision,
                error=error.detail,
            )
            return
        self._adopt(entry.revision, document)

    async def _log_older_revision(self) -> None:
        entry = await self._context.platform.get(CONFIGURATION_KEY)
        found_revision = entry.revision if entry is not None else 0
        if found_revision < self._context.configuration.revision:
            log(
                LogEvent.CONFIGURATION_OLDER_IGNORED,
                revision=found_revision,
                in_force=self._context.configuration.revision,
            )

    def _record_unreachable(self, reason: str) -> None:
        if self._reachable:
            log(LogEvent.PLATFORM_UNREACHABLE, error=reason)
        self._reachable = False

    async def _fetch_all(self) -> None:
        while True:
            peer = await self._peer_revisions.get()
            if peer.revision <= self._context.configuration.revision:
                continue
            try:
                await self._fetch(peer.address)
            except PeerUnreachable:
                continue
            except TanagerkeelError as error:
                log(
                    LogEvent.CONFIGURATION_REJECTED,
                    revision=peer.revision,
                    error=error.detail,
                )

    async def _delay_remote(self) -> None:
        while True:
            peer = await self._remote_revisions.get()
            await self._context.clock.sleep(REMOTE_FETCH_DELAY_S)
            self.record_peer_revision(peer.address, peer.revision)

    async def _fetch(self, address: str) -> None:
        answer = await self._query(address, self._context.configuration.revision)
        if answer.revision <= self._context.configuration.revision:
            # This node has got the revision by other means since the query was sent.
            return
        document = self._apply_patches(answer)
        if document is None and not answer.document:
            answer = await self._query(address, 0)
        if document is None and answer.document:
            document = await _decode(answer.document)
        if document is not None:
            self._adopt(answer.revision, document, answer)

    async def _query(self, address: str, revision: int) -> ConfigurationAnswer:
        return await self._context.bus.call(
            address, ConfigurationQuery(revision), ConfigurationAnswer, FETCH_TIMEOUT_S
        )

    def _apply_patches(self, answer: ConfigurationAnswer) -> Configuration | None:
        current = self._context.configuration.current
        if current is None or not answer.patches:
            return None
        # Another revision may have come into force since the query was sent.
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
        if self._encoded_current[0] != current.revision:
            configuration = current.configuration
            digest = configuration_digest(configuration)
            self._encoded_current = (current.revision, digest, b"")
        revision, digest, document = self._encoded_current
        patches = self._patches.since(received.message.revision)
        if patches:
            return ConfigurationAnswer(revision, digest, patches)
        if not document:
            document = encode_document(current.configuration)
            self._encoded_current = (revision, digest, document)
        return ConfigurationAnswer(revision, digest, (), document)


async def _decode(data: bytes) -> Configuration:
    if len(data) <= MAX_INLINE_DECODE_BYTES:
        return decode_document(data)
    # Decoding a large document here would block the event loop and delay requests.
    return await asyncio.to_thread(decode_document, data)
