"""What a check of a configuration finds, and where."""

import enum

import attrs

__all__ = ["Collection", "Finding", "Level", "Place", "Problem"]


class Level(enum.StrEnum):
    """Whether a configuration must not be sent, or may be meant as it is."""

    ERROR = "error"
    WARNING = "warning"


class Collection(enum.StrEnum):
    """A part of a configuration; all but ``LIMITS`` and ``WHOLE`` are lists."""

    ROUTES = "routes"
    SERVICES = "services"
    ACCOUNTS = "accounts"
    LIMITS = "limits"
    WHOLE = ""


class Problem(enum.Enum):
    """
    A kind of finding: ``(code, level)``.

    ``docs/operators/commands.md`` lists every code; a test compares the two.
    """

    UNREADABLE = ("unreadable", Level.ERROR)
    UNKNOWN_SERVICE = ("unknown-service", Level.ERROR)
    DUPLICATE_NAME = ("duplicate-name", Level.ERROR)
    DUPLICATE_PREFIX = ("duplicate-prefix", Level.ERROR)
    SHARED_KEY = ("shared-key", Level.ERROR)
    PREFIX_WITHOUT_SLASH = ("prefix-without-slash", Level.ERROR)
    NO_POSITIVE_WEIGHT = ("no-positive-weight", Level.ERROR)
    INVALID_WEIGHT = ("invalid-weight", Level.ERROR)
    VERSION_NOT_ABOVE = ("version-not-above", Level.ERROR)

    HOST_WITH_PORT = ("host-with-port", Level.WARNING)
    UNUSED_SERVICE = ("unused-service", Level.WARNING)
    ACCOUNT_WITHOUT_KEYS = ("account-without-keys", Level.WARNING)
    ZERO_WEIGHT = ("zero-weight", Level.WARNING)
    OBJECTIVE_ABOVE_TIMEOUT = ("objective-above-timeout", Level.WARNING)
    PAUSE_ABOVE_TIMEOUT = ("pause-above-timeout", Level.WARNING)
    ATTEMPTS_NOT_REPEATABLE = ("attempts-not-repeatable", Level.WARNING)
    MEMORY_BELOW_PROMPT = ("memory-below-prompt", Level.WARNING)
    COLD_LIMIT_TOO_LOW = ("cold-limit-too-low", Level.WARNING)
    RANK_OUT_OF_RANGE = ("rank-out-of-range", Level.WARNING)
    HEADER_ABOVE_IDLE_TIMEOUT = ("header-above-idle-timeout", Level.WARNING)

    @property
    def code(self) -> str:
        """The stable name in reports."""
        return self.value[0]

    @property
    def level(self) -> Level:
        """The level of its findings."""
        return self.value[1]


@attrs.frozen
class Place:
    """
    A place in a configuration.

    :param collection: the part of the configuration.
    :param index: position of the entry in a list; None outside lists.
    :param field: name of the field; empty for the whole entry. A field of an engine is
        ``engine.NAME``.
    :param position: position in a list that the field holds; None for the whole field.
    """

    collection: Collection
    index: int | None = None
    field: str = ""
    position: int | None = None

    def __str__(self) -> str:
        entry = "" if self.index is None else f"[{self.index}]"
        item = "" if self.position is None else f"[{self.position}]"
        return f"{self.collection}{entry}.{self.field}{item}".strip(".")


@attrs.frozen
class Finding:
    """
    One finding.

    :param problem: its kind.
    :param place: where it is.
    :param message: what is wrong and what follows; contains no key.
    """

    problem: Problem
    place: Place
    message: str
