"""How nodes get a new configuration: patches, outages, and older revisions."""

import contextlib
import types
from random import Random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel import codec
from tanagerkeel.clock import ManualClock
from tanagerkeel.configuration import (
    Catalog,
    ClientAccount,
    Configuration,
    ConfigurationAnswer,
    ConfigurationHolder,
    ConfigurationQuery,
    FailureDomain,
    Market,
    PatchLog,
    apply_patch,
    decode_document,
    encode_document,
    make_patch,
    normalise,
)
from tanagerkeel.entry._configuration_task import ConfigurationTask
from tanagerkeel.errors import TanagerkeelError
from tanagerkeel.gateways.peers import Received
from tanagerkeel.gateways.platform import PlatformUnavailable, StoreEntry
from tanagerkeel.membership import MembershipHolder, NodeInfo, View
from tests.fixtures_peers import Network, running_tasks
from tests.support import collect

# Every node must have adopted a change after this time.
ADOPTION_LIMIT_S = 17.0


def _document(accounts=3, weight=1.0, submission="s"):
    return Configuration(
        submission_id=submission,
        markets=(Market("oath", "visayas"),),
        failure_domains=(FailureDomain("cebu-1", "visayas"),),
        client_accounts=tuple(
            ClientAccount(f"agency-{i}", "oath", (f"{i:064x}",), weight)
            for i in range(accounts)
        ),
    )


@attrs.define
class FakePlatform:
    """Holds the configuration's key and counts how often a watch returned it."""

    clock: ManualClock
    entry: StoreEntry | None = None
    down: bool = False
    value_reads: int = 0

    def store(self, document, revision):
        value = document if isinstance(document, bytes) else codec.encode(document)
        self.entry = StoreEntry("configuration", value, revision)

    async def get(self, key):
        if self.down:
            raise PlatformUnavailable("down")
        return self.entry

    async def watch(self, key, after, wait_ms):
        end_s = self.clock.monotonic() + wait_ms / 1_000
        while True:
            if self.down:
                raise PlatformUnavailable("down")
            if self.entry is not None and self.entry.revision > after:
                self.value_reads += 1
                return self.entry
            if self.clock.monotonic() >= end_s:
                return None
            await self.clock.sleep(0.1)


@attrs.define
class Domain:
    """The configuration tasks of one failure domain, with simulated probes."""

    network: Network
    platform: FakePlatform
    count: int
    tasks: list = attrs.field(factory=list)
    random: Random = attrs.field(factory=lambda: Random(3))

    def __attrs_post_init__(self):
        nodes = tuple(self._info(i) for i in range(self.count))
        for own in nodes:
            self.add(own, nodes)

    def _info(self, index):
        address = f"10.0.0.{index}:1"
        return NodeInfo(f"node-{index}", "cebu-1", address, address)

    def add(self, own, nodes):
        context = types.SimpleNamespace(
            settings=types.SimpleNamespace(node_id=own.node_id),
            clock=self.network.clock,
            configuration=ConfigurationHolder(),
            members=MembershipHolder(own, View(nodes)),
            bus=self.network.create_bus(own.peers_address),
            platform=self.platform,
        )
        task = ConfigurationTask(context)
        self.tasks.append(task)
        return task

    def revisions(self):
        return [t._context.configuration.revision for t in self.tasks]

    async def probe(self, seconds):
        """Let time pass; each second, each node and a random one exchange revisions."""
        for _ in range(round(seconds)):
            await self.network.pass_time(1.0)
            for task in self.tasks:
                other = self.random.choice(self.tasks)
                for one, two in ((task, other), (other, task)):
                    context = two._context
                    address = context.members.own.peers_address
                    one.record_peer_revision(address, context.configuration.revision)


@contextlib.asynccontextmanager
async def _domain(count=6):
    clock = ManualClock()
    domain = Domain(Network(clock=clock), FakePlatform(clock), count)
    domain.platform.store(_document(), 5)
    async with running_tasks(t.run() for t in domain.tasks):
        await _until_adopted(domain, 5)
        yield domain


async def _until_adopted(domain, revision, limit_s=ADOPTION_LIMIT_S):
    for _ in range(round(limit_s)):
        await domain.probe(1)
        if set(domain.revisions()) == {revision}:
            return
    raise AssertionError(domain.revisions())


async def test_change_reaches_every_node_and_is_read_once():
    async with _domain() as domain:
        before = domain.platform.value_reads
        domain.platform.store(_document(weight=2.0), 9)
        await _until_adopted(domain, 9)
        assert domain.platform.value_reads - before == 1
        documents = {t._context.configuration.current for t in domain.tasks}
        assert len(documents) == 1


async def test_change_gets_in_force_though_both_watchers_are_cut_off():
    async with _domain() as domain:
        # The first node in this ranking watches the key, the second polls it.
        ranked = domain.tasks[0]._context.members.view.ranked("watch/5")
        for node in ranked[:2]:
            task = next(t for t in domain.tasks if t._context.members.own == node)
            task._context.platform = FakePlatform(domain.network.clock, down=True)
        domain.platform.store(_document(weight=2.0), 9)
        await _until_adopted(domain, 9)


async def test_restored_older_value_is_not_taken():
    async with _domain() as domain:
        domain.platform.store(_document(weight=3.0), 8)
        await _until_adopted(domain, 8)
        domain.platform.down = True
        await domain.probe(15)
        domain.platform.down = False
        domain.platform.store(_document(), 5)
        await domain.probe(30)
        assert set(domain.revisions()) == {8}


async def test_fresh_node_in_an_outage_takes_it_from_a_peer():
    async with _domain() as domain:
        domain.platform.down = True
        nodes = domain.tasks[0]._context.members.view.nodes
        fresh = domain.add(domain._info(6), (*nodes, domain._info(6)))
        async with running_tasks([fresh.run()]):
            await _until_adopted(domain, 5)


async def test_invalid_document_is_rejected_and_the_next_one_adopted():
    async with _domain() as domain:
        domain.platform.store(b'{"client_accounts": 3}', 7)
        await domain.probe(20)
        assert set(domain.revisions()) == {5}
        domain.platform.store(_document(weight=4.0), 8)
        await _until_adopted(domain, 8)


async def test_patch_that_does_not_fit_is_replaced_by_the_whole_document():
    async with _domain(2) as domain:
        one, two = domain.tasks
        domain.platform.down = True
        right = normalise(_document(weight=7.0))
        two._adopt(6, right)
        # The first node's document is not the one that the patch was made from.
        wrong = attrs.evolve(_document(), client_accounts=())
        one._context.configuration._current = Catalog(5, wrong)
        await _until_adopted(domain, 6)
        assert one._context.configuration.current.configuration == right


def test_size_of_an_answer_depends_on_what_differs():
    context = types.SimpleNamespace(bus=None, configuration=ConfigurationHolder())
    task = ConfigurationTask(context)
    document = normalise(_document(accounts=2_000))
    task._adopt(1, document)
    changed = attrs.evolve(document.client_accounts[7], weight=9.0)
    accounts = (*document.client_accounts[:7], changed, *document.client_accounts[8:])
    task._adopt(2, attrs.evolve(document, client_accounts=accounts))
    patched = task._answer(Received("a", ConfigurationQuery(1)))
    assert len(codec.pack_compact(patched)) < 300
    whole = task._answer(Received("a", ConfigurationQuery(0)))
    assert decode_document(whole.document) == attrs.evolve(
        document, client_accounts=accounts
    )


def test_patch_log_is_bounded_and_ordered():
    patches = PatchLog()
    document = normalise(_document())
    for base in range(1, 40):
        patches.add(make_patch(document, document, base, base + 1))
    assert [p.base_revision for p in patches.since(30)] == list(range(30, 40))
    assert patches.since(3) == ()
    patches.add(make_patch(document, document, 80, 81))
    assert patches.since(39) == ()


def test_decompression_bomb_is_rejected():
    bomb = encode_document(attrs.evolve(_document(), submission_id="x" * 5_000_000))
    try:
        decode_document(bomb)
        raise AssertionError("decompression bomb was accepted")
    except TanagerkeelError:
        pass


_accounts = st.lists(
    st.builds(
        ClientAccount,
        st.sampled_from([f"agency-{i}" for i in range(6)]),
        st.sampled_from(["oath", "court"]),
        st.tuples(st.sampled_from(["aa", "bb"])),
        st.sampled_from([1.0, 2.0]),
    ),
    max_size=6,
    unique_by=lambda account: account.name,
)
_documents = st.builds(
    Configuration,
    submission_id=st.sampled_from(["a", "b"]),
    history=st.lists(st.sampled_from("abc"), max_size=3).map(tuple),
    client_accounts=_accounts.map(tuple),
).map(normalise)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(_documents, _documents)
def test_patched_configuration_equals_the_new_one(old, new):
    assert apply_patch(old, make_patch(old, new, 1, 2)) == new


@settings(derandomize=True, deadline=None, max_examples=200)
@given(_documents, _documents, _documents)
def test_patch_of_another_document_raises_no_unexpected_error(old, new, other):
    # It may also apply; a node then finds that the digest differs.
    with contextlib.suppress(TanagerkeelError):
        apply_patch(other, make_patch(old, new, 1, 2))


def test_answer_round_trips_through_the_codec():
    patch = make_patch(_document(), normalise(_document(weight=2.0)), 1, 2)
    answer = ConfigurationAnswer(2, 2**64 - 1, (patch,))
    packed = codec.pack_compact(answer)
    assert codec.unpack_compact(packed, ConfigurationAnswer) == answer


def load_tests(loader, tests, pattern):
    return collect(globals())
