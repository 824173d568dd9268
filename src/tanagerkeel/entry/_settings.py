"""The settings of an entry node."""

import pathlib

import attrs

from tanagerkeel import codec
from tanagerkeel.addresses import split_address
from tanagerkeel.errors import ResultCode, TanagerkeelError

__all__ = ["EntrySettings", "Limits", "SigningKey", "load_settings"]


def _address(instance: object, attribute: attrs.Attribute, value: str) -> None:
    try:
        split_address(value)
    except ValueError as error:
        raise ValueError(f"{attribute.name}: {error}") from error


@attrs.frozen
class SigningKey:
    """
    A key that signs messages between nodes.

    :param key_id: number that travels with each message.
    :param secret: the secret, in hex.
    """

    key_id: int
    secret: str = attrs.field(repr=False)

    @secret.validator
    def _is_hex(self, attribute: attrs.Attribute, value: str) -> None:
        bytes.fromhex(value)


@attrs.frozen
class Limits:
    """
    Bounds on what callers may send.

    :param max_body_bytes: largest body, in bytes.
    :param max_header_bytes: largest header block, in bytes.
    :param max_queue: most requests that wait, over all client accounts.
    :param max_streams: most requests that run on this node.
    """

    max_body_bytes: int = attrs.field(
        default=8_000_000, validator=attrs.validators.gt(0)
    )
    max_header_bytes: int = attrs.field(
        default=16_384, validator=attrs.validators.gt(0)
    )
    max_queue: int = attrs.field(default=1_000, validator=attrs.validators.gt(0))
    max_streams: int = attrs.field(default=400, validator=attrs.validators.gt(0))


@attrs.frozen
class EntrySettings:
    """
    Settings of one entry node; every address is ``IP:PORT`` with an IP number.

    :param node_id: unique name of the node.
    :param failure_domain: its failure domain.
    :param callers_listen: where callers connect; port 0 lets the system choose.
    :param operators_listen: where operators connect.
    :param peers_listen: where other nodes send messages.
    :param forward_listen: where other nodes forward requests to.
    :param platform: the platform's key-value service.
    :param peers: message addresses of nodes to start from in an outage.
    :param signing_keys: keys for messages between nodes; the first one signs.
    :param limits: bounds on what callers may send.
    :param trace_log: whether the spans of requests are written to the log.
    :param drain_delay_s: how long a stopping node goes on taking callers after it
        has told that it isn't ready, in seconds; longer than the balancer's interval.
    :param control: whether the control tasks run; off only to measure them.
    """

    node_id: str
    failure_domain: str
    callers_listen: str = attrs.field(validator=_address)
    operators_listen: str = attrs.field(validator=_address)
    peers_listen: str = attrs.field(validator=_address)
    forward_listen: str = attrs.field(validator=_address)
    platform: str = attrs.field(validator=_address)
    peers: tuple[str, ...] = attrs.field(
        default=(), validator=attrs.validators.deep_iterable(_address)
    )
    signing_keys: tuple[SigningKey, ...] = attrs.field(
        default=(), validator=attrs.validators.min_len(1)
    )
    limits: Limits = Limits()
    trace_log: bool = False
    drain_delay_s: float = attrs.field(default=5.0, validator=attrs.validators.ge(0))
    control: bool = True


def load_settings(path: pathlib.Path) -> EntrySettings:
    """
    Return the settings in a JSON file.

    :raises TanagerkeelError: SETTINGS_UNREADABLE or SETTINGS_INVALID, naming every
        fault by its path.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise TanagerkeelError(ResultCode.SETTINGS_UNREADABLE, str(error)) from error
    try:
        return codec.decode(data, EntrySettings)
    except codec.InvalidValue as error:
        raise TanagerkeelError(ResultCode.SETTINGS_INVALID, str(error)) from error
