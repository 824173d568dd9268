"""Runs stand-in engines in a few separate processes, over HTTP on loopback."""

import asyncio
import contextlib
import multiprocessing
from collections.abc import Iterator
from multiprocessing.connection import Connection

import attrs

from tanagerkeel.standins import EngineProfile, EngineStandIn, serve_standin

__all__ = ["EngineHosts", "engine_hosts"]

START_TIMEOUT_S = 20.0


@attrs.frozen
class EngineHosts:
    """
    Running stand-in engines.

    :param addresses: ``IP:PORT`` of each engine.
    """

    addresses: tuple[str, ...]


@contextlib.contextmanager
def engine_hosts(
    profile: EngineProfile, count: int, processes: int = 4
) -> Iterator[EngineHosts]:
    """
    Run stand-in engines until the block ends.

    :param profile: speed and memory of each engine.
    :param count: number of engines.
    :param processes: number of processes among which the engines are divided.
    """
    context = multiprocessing.get_context("spawn")
    pipes, workers = [], []
    for number in range(processes):
        parent_end, child_end = context.Pipe()
        engine_count = len(range(number, count, processes))
        worker = context.Process(
            target=_host, args=(child_end, profile, engine_count), daemon=True
        )
        worker.start()
        pipes.append(parent_end)
        workers.append(worker)
    try:
        yield EngineHosts(tuple(a for pipe in pipes for a in _addresses(pipe)))
    finally:
        for pipe, worker in zip(pipes, workers, strict=True):
            pipe.close()
            worker.join(2.0)
            if worker.is_alive():
                worker.terminate()


def _addresses(pipe: Connection) -> tuple[str, ...]:
    if not pipe.poll(START_TIMEOUT_S):
        raise TimeoutError("the stand-in engines did not start")
    return pipe.recv()


def _host(pipe: Connection, profile: EngineProfile, count: int) -> None:
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(pipe, profile, count))


async def _serve(pipe: Connection, profile: EngineProfile, count: int) -> None:
    servers = [
        await serve_standin(EngineStandIn(profile), "127.0.0.1", 0)
        for _ in range(count)
    ]
    pipe.send(tuple(server.address for server in servers))
    closed = asyncio.Event()
    # The pipe becomes readable when the benchmark closes its end or dies.
    asyncio.get_running_loop().add_reader(pipe.fileno(), closed.set)
    await closed.wait()
