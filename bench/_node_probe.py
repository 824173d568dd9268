"""Resource use of entry processes, read from ``/proc`` and from their metrics."""

import asyncio
import os
import pathlib

import attrs
from tests.fixtures_processes import NodeProcess, ProcessFleet

__all__ = ["Cost", "cost_of", "is_member_everywhere", "wait_for"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEGABYTE = 1_000_000
POLL_S = 0.02


@attrs.frozen
class Cost:
    """
    A node's mean resource use over a period.

    :param messages: messages between nodes, sent and received, per second.
    :param peer_bytes: bytes of these messages per second.
    :param cpu: CPU use, in percent of one core.
    :param rss_mb: resident memory at the end, in megabytes.
    """

    messages: float
    peer_bytes: float
    cpu: float
    rss_mb: float


@attrs.frozen
class _Reading:
    messages: float
    peer_bytes: float
    cpu_s: float


async def cost_of(nodes: list[NodeProcess], seconds: float) -> Cost:
    """Return the mean cost of a node over the next ``seconds``."""
    before = [await _read(node) for node in nodes]
    await asyncio.sleep(seconds)
    after = [await _read(node) for node in nodes]
    pairs = tuple(zip(before, after, strict=True))
    return Cost(
        messages=_mean(b.messages - a.messages for a, b in pairs) / seconds,
        peer_bytes=_mean(b.peer_bytes - a.peer_bytes for a, b in pairs) / seconds,
        cpu=_mean(b.cpu_s - a.cpu_s for a, b in pairs) / seconds * 100,
        rss_mb=_mean(_rss_mb(node) for node in nodes),
    )


async def wait_for(condition: object, limit_s: float = 30.0) -> float:
    """
    Poll an asynchronous condition until it is true.

    :returns: the time that it took, in seconds.
    :raises TimeoutError: after ``limit_s``.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with asyncio.timeout(limit_s):
        while not await condition():
            await asyncio.sleep(POLL_S)
    return loop.time() - started


async def is_member_everywhere(fleet: ProcessFleet, count: int) -> bool:
    """Return whether every living node sees ``count`` members."""
    nodes = [n for n in fleet.nodes if n.process.returncode is None]
    found = await asyncio.gather(*(node.status() for node in nodes))
    return all(len(status["members"]) == count for status in found)


async def _read(node: NodeProcess) -> _Reading:
    return _Reading(
        await node.metric("tanagerkeel_peer_messages_total"),
        await node.metric("tanagerkeel_peer_bytes_total"),
        _cpu_s(node),
    )


def _cpu_s(node: NodeProcess) -> float:
    text = pathlib.Path(f"/proc/{node.process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _rss_mb(node: NodeProcess) -> float:
    text = pathlib.Path(f"/proc/{node.process.pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES / MEGABYTE


def _mean(values: object) -> float:
    found = list(values)
    return sum(found) / len(found)
