"""Summaries that failure domains send each other about themselves."""

import attrs
import xxhash

from tanagerkeel.gateways.peers import peer_message
from tanagerkeel.membership._messages import HeavyAccount

__all__ = [
    "DomainSummary",
    "ModelCapacity",
    "ReceivedSummary",
    "SummaryAnswer",
    "SummaryQuery",
    "SummaryTable",
    "SuspectRequest",
    "SuspectRequestUpdate",
    "model_number",
]

MODEL_NUMBER_MASK = 0xFFFF
SUMMARY_TTL_S = 10.0
# Long enough that a single lost summary doesn't count as silence.
SILENCE_TIMEOUT_S = 5.0
ADDRESS_TTL_S = 60.0
MAX_ADDRESSES = 8


def model_number(name: str) -> int:
    """Return the 16-bit hash that stands for a model in summaries."""
    return xxhash.xxh32_intdigest(name.encode()) & MODEL_NUMBER_MASK


@attrs.frozen
class ModelCapacity:
    """
    Capacity of a failure domain for one model.

    :param model: number of the model, see :func:`model_number`.
    :param engines: number of engines that accept work.
    :param wait_tenths_s: shortest expected queue delay of an engine, in tenths of a
        second.
    """

    model: int
    engines: int
    wait_tenths_s: int


@attrs.frozen
class SuspectRequest:
    """
    A request that is suspected of crashing backend servers.

    :param fingerprint: hash of its account, model and prompt.
    :param remaining_s: time until the suspicion or quarantine expires, in seconds.
    :param death_hashes: a hash of each death of a backend server that was running it;
        empty once it is quarantined.
    """

    fingerprint: str
    remaining_s: int
    death_hashes: tuple[str, ...] = ()


@peer_message(50)
@attrs.frozen
class SuspectRequestUpdate:
    """
    Informs the nodes of a failure domain about suspect requests.

    :param suspects: found in this failure domain; the receiver also passes them on to
        other failure domains.
    :param remote: received from another failure domain.
    """

    suspects: tuple[SuspectRequest, ...] = ()
    remote: tuple[SuspectRequest, ...] = ()


@peer_message(70)
@attrs.frozen
class DomainSummary:
    """
    State of a failure domain, as sent to another one.

    :param domain: name of the failure domain.
    :param revision: configuration revision of the sender.
    :param peers_address: ``IP:PORT`` of the sender for messages between nodes.
    :param forward_address: ``IP:PORT`` of a node that accepts forwarded requests.
    :param model_capacities: capacity for each model.
    :param usage: the client accounts with the highest usage.
    :param suspects: suspect requests found in the failure domain.
    """

    domain: str
    revision: int
    peers_address: str
    forward_address: str
    model_capacities: tuple[ModelCapacity, ...] = ()
    usage: tuple[HeavyAccount, ...] = ()
    suspects: tuple[SuspectRequest, ...] = ()


@peer_message(71)
@attrs.frozen
class SummaryQuery:
    """
    Asks a node of the same failure domain for the summary of another one.

    :param domain: name of the other failure domain.
    """

    domain: str


@peer_message(72)
@attrs.frozen
class SummaryAnswer:
    """
    Answers a summary query.

    :param summary: the latest summary; None when there is none or it has expired.
    :param forward_addresses: addresses that accept forwarded requests, the most
        recently received first.
    """

    summary: DomainSummary | None = None
    forward_addresses: tuple[str, ...] = ()


@attrs.frozen
class ReceivedSummary:
    """
    The latest summary of a failure domain, with addresses from earlier ones.

    :param summary: the latest summary.
    :param forward_addresses: addresses that accept forwarded requests, the most
        recently received first.
    """

    summary: DomainSummary
    forward_addresses: tuple[str, ...]


@attrs.define
class _DomainRecord:
    summary: DomainSummary
    # Monotonic time at which the summary was received.
    received_s: float
    # Addresses with the monotonic time at which each was last received, the most
    # recent last.
    forward_addresses: dict[str, float] = attrs.field(factory=dict)
    peers_addresses: dict[str, float] = attrs.field(factory=dict)


@attrs.define
class SummaryTable:
    """Summaries of other failure domains; times are monotonic, in seconds."""

    _records: dict[str, _DomainRecord] = attrs.field(factory=dict)

    def store(self, summary: DomainSummary, now: float) -> None:
        """Store a summary in place of the previous one of its failure domain."""
        record = self._records.setdefault(summary.domain, _DomainRecord(summary, now))
        record.summary = summary
        record.received_s = now
        record.forward_addresses = _with_address(
            record.forward_addresses, summary.forward_address, now
        )
        record.peers_addresses = _with_address(
            record.peers_addresses, summary.peers_address, now
        )

    def get(self, domain: str, now: float) -> ReceivedSummary | None:
        """Return the latest summary of a failure domain; None once it has expired."""
        record = self._records.get(domain)
        if record is None or now - record.received_s > SUMMARY_TTL_S:
            return None
        return ReceivedSummary(
            record.summary, tuple(reversed(record.forward_addresses))
        )

    def peers_addresses(self, domain: str) -> tuple[str, ...]:
        """Return a failure domain's addresses for messages, the latest first."""
        record = self._records.get(domain)
        return tuple(reversed(record.peers_addresses)) if record is not None else ()

    def is_silent(self, domain: str, now: float) -> bool:
        """Return whether no summary came in the last ``SILENCE_TIMEOUT_S``."""
        record = self._records.get(domain)
        return record is None or now - record.received_s > SILENCE_TIMEOUT_S

    def usage(self, now: float) -> tuple[HeavyAccount, ...]:
        """Return the usage of client accounts, summed over unexpired summaries."""
        tokens: dict[int, int] = {}
        for domain in tuple(self._records):
            received = self.get(domain, now)
            for heavy in received.summary.usage if received is not None else ():
                tokens[heavy.account] = tokens.get(heavy.account, 0) + heavy.tokens
        return tuple(HeavyAccount(a, t) for a, t in sorted(tokens.items()))


def _with_address(
    addresses: dict[str, float], address: str, now: float
) -> dict[str, float]:
    # Addresses expire only when a newer one arrives: after a partition the last known
    # ones are needed to reach the failure domain again.
    others = [(a, t) for a, t in addresses.items() if a != address]
    kept = [(a, t) for a, t in others if now - t < ADDRESS_TTL_S]
    return dict([*kept[-(MAX_ADDRESSES - 1) :], (address, now)])
