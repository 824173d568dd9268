"""The workload file: requests to send, their accounts, and faults to inject."""

import math
from collections.abc import Iterator

import attrs

from tanagerkeel import codec
from tanagerkeel.errors import ResultCode, TanagerkeelError

__all__ = ["LengthMix", "LoadAccount", "TimedFault", "Workload", "parse_workload"]

positive = attrs.validators.gt(0)


@attrs.frozen
class LengthMix:
    """
    One class of prompts.

    :param name: name of the class in the report.
    :param weight: share of the requests relative to the other classes.
    :param min_tokens: shortest prompt, in tokens.
    :param max_tokens: longest prompt; lengths are log-uniform between the two.
    :param output_tokens: length of the answer, in tokens.
    :param deadline_ms: deadline sent with the request; None for the configuration's.
    :param prefixes: number of distinct prefixes that prompts share; 0 for none.
    :param prefix_tokens: length of a shared prefix, in tokens.
    """

    name: str
    weight: float = attrs.field(validator=positive)
    min_tokens: int = attrs.field(validator=positive)
    max_tokens: int = attrs.field(validator=positive)
    output_tokens: int = attrs.field(default=64, validator=positive)
    deadline_ms: int | None = attrs.field(
        default=None, validator=attrs.validators.optional(positive)
    )
    prefixes: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    prefix_tokens: int = attrs.field(default=0, validator=attrs.validators.ge(0))


@attrs.frozen
class LoadAccount:
    """
    A client account that sends requests.

    :param name: name of the account in the report.
    :param key: bearer key sent with its requests.
    :param share: share of the requests relative to the other accounts.
    """

    name: str
    key: str = attrs.field(repr=False)
    share: float = attrs.field(default=1.0, validator=positive)


@attrs.frozen
class TimedFault:
    """
    Faults set at a stand-in during the run.

    :param at_s: time of setting them, in seconds from the start.
    :param address: ``IP:PORT`` of the stand-in.
    :param faults: body of ``PUT /faults``: a JSON object, as a string.
    """

    at_s: float = attrs.field(validator=attrs.validators.ge(0))
    address: str
    faults: str


@attrs.frozen
class Workload:
    """
    The requests and faults of one load run.

    :param seed: seed of arrival times, prompt lengths, accounts and prompts.
    :param duration_s: how long requests are sent, in seconds.
    :param rate: mean number of requests per second.
    :param entries: ``IP:PORT`` of entry nodes, used in rotation.
    :param model: name of the model that requests are for.
    :param lengths: classes of prompts to choose from by weight.
    :param accounts: client accounts to choose from by share.
    :param faults: faults to set at stand-ins during the run.
    :param verify: whether answers must equal those that stand-in engines give.
    """

    seed: int
    duration_s: float = attrs.field(validator=positive)
    rate: float = attrs.field(validator=positive)
    entries: tuple[str, ...] = attrs.field(validator=attrs.validators.min_len(1))
    model: str
    lengths: tuple[LengthMix, ...] = attrs.field(validator=attrs.validators.min_len(1))
    accounts: tuple[LoadAccount, ...] = attrs.field(
        validator=attrs.validators.min_len(1)
    )
    faults: tuple[TimedFault, ...] = ()
    verify: bool = False


def parse_workload(data: bytes | str) -> Workload:
    """
    Decode and validate a workload in JSON.

    :param data: content of the workload file.
    :raises TanagerkeelError: WORKLOAD_INVALID, with every problem and its path.
    """
    try:
        workload = codec.decode(data, Workload)
    except codec.InvalidValue as error:
        raise TanagerkeelError(ResultCode.WORKLOAD_INVALID, str(error)) from error
    problems = tuple(_problems(workload))
    if problems:
        raise TanagerkeelError(ResultCode.WORKLOAD_INVALID, "; ".join(problems))
    return workload


def _problems(workload: Workload) -> Iterator[str]:
    for name in ("duration_s", "rate"):
        if not math.isfinite(getattr(workload, name)):
            yield f"must be finite @ $.{name}"
    for index, mix in enumerate(workload.lengths):
        path = f"$.lengths[{index}]"
        if mix.max_tokens < mix.min_tokens:
            yield f"less than min_tokens @ {path}.max_tokens"
        if mix.prefixes and mix.prefix_tokens > mix.min_tokens:
            yield f"more than min_tokens @ {path}.prefix_tokens"
        if not math.isfinite(mix.weight):
            yield f"must be finite @ {path}.weight"
