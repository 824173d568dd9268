"""The settings of an entry node."""

import pathlib

import attrs

from tanagerkeel import codec
from tanagerkeel.addresses import split_address
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.client_limits import ProcessLimits

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

    :param key_id: number sent with each message, so that the receiver can tell
        which key signed it.
    :param secret: the secret in hexadecimal.
    """

    key_id: int
    secret: str = attrs.field(repr=False)

    @secret.validator
    def _is_hex(self, attribute: attrs.Attribute, value: str) -> None:
        bytes.fromhex(value)


@attrs.frozen
class Limits:
    """
    Limits on requests from callers.

    :param max_body_bytes: maximum size of a body, in bytes.
    :param max_header_bytes: maximum size of a header block, in bytes.
    :param max_queue: maximum number of queued requests over all client accounts.
    :param max_streams: maximum number of requests that run on this node at once.
    :param memory_mb: memory of the process, in megabytes, which bounds what callers may
        hold.
    :param max_open_files: descriptors of the process, which bound the connections.
    """

    max_body_bytes: int = attrs.field(
        default=8_000_000, validator=attrs.validators.gt(0)
    )
    max_header_bytes: int = attrs.field(
        default=16_384, validator=attrs.validators.gt(0)
    )
    max_queue: int = attrs.field(default=1_000, validator=attrs.validators.gt(0))
    max_streams: int = attrs.field(default=400, validator=attrs.validators.gt(0))
    memory_mb: float = attrs.field(
        default=ProcessLimits().memory_mb, validator=attrs.validators.gt(0)
    )
    max_open_files: int = attrs.field(
        default=ProcessLimits().max_open_files, validator=attrs.validators.gt(0)
    )

    @property
    def process(self) -> ProcessLimits:
        """What the VM gives the process."""
        return ProcessLimits(self.memory_mb, self.max_open_files)


@attrs.frozen
class EntrySettings:
    """
    Settings of one entry node; every address is ``IP:PORT``, without host names.

    :param node_id: unique name of the node.
    :param failure_domain: name of the failure domain that the node runs in.
    :param callers_listen: listen address for callers; with port 0 the operating
        system chooses a port.
    :param operators_listen: listen address for operators.
    :param peers_listen: listen address for messages from other nodes.
    :param forward_listen: listen address for requests that other nodes forward.
    :param platform: address of the platform's key-value service.
    :param peers: message addresses of nodes through which this one joins while the
        platform is down.
    :param signing_keys: keys for messages between nodes; the first one signs, all
        of them verify.
    :param limits: limits on requests from callers.
    :param trace_log: whether the spans of requests are written to the log.
    :param drain_delay_s: how long a stopping node still accepts callers after it has
        reported that it isn't ready, in seconds; must be longer than the load
        balancer's check interval.
    :param control: whether the control tasks run; off only to measure their cost.
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
    Read the settings from a JSON file.

    :raises TanagerkeelError: SETTINGS_UNREADABLE or SETTINGS_INVALID, listing every
        invalid value with its path.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise TanagerkeelError(ResultCode.SETTINGS_UNREADABLE, str(error)) from error
    try:
        return codec.decode(data, EntrySettings)
    except codec.InvalidValue as error:
        raise TanagerkeelError(ResultCode.SETTINGS_INVALID, str(error)) from error
