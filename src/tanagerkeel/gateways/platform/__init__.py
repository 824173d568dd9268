"""Key-value store and VM list of the platform: interfaces and an HTTP client."""

from tanagerkeel.gateways.platform._era_observer import EraObserver
from tanagerkeel.gateways.platform._http import HttpPlatformGateway
from tanagerkeel.gateways.platform._protocol import (
    ABSENT,
    Changes,
    CompareFailed,
    HistoryLost,
    Lease,
    LeaseLapsed,
    Listing,
    PlatformGateway,
    PlatformUnavailable,
    StoreEntry,
    VirtualMachine,
    WatchedStore,
)

__all__ = [
    "ABSENT",
    "Changes",
    "CompareFailed",
    "EraObserver",
    "HistoryLost",
    "HttpPlatformGateway",
    "Lease",
    "LeaseLapsed",
    "Listing",
    "PlatformGateway",
    "PlatformUnavailable",
    "StoreEntry",
    "VirtualMachine",
    "WatchedStore",
]
