"""The platform's key-value service and VM list: the interface and HTTP behind it."""

from tanagerkeel.gateways.platform._http import HttpPlatformGateway
from tanagerkeel.gateways.platform._protocol import (
    ABSENT,
    Changes,
    CompareFailed,
    Entry,
    HistoryLost,
    Lease,
    LeaseLapsed,
    Listing,
    PlatformGateway,
    PlatformUnavailable,
    VirtualMachine,
    WatchedStore,
)

__all__ = [
    "ABSENT",
    "Changes",
    "CompareFailed",
    "Entry",
    "HistoryLost",
    "HttpPlatformGateway",
    "Lease",
    "LeaseLapsed",
    "Listing",
    "PlatformGateway",
    "PlatformUnavailable",
    "VirtualMachine",
    "WatchedStore",
]
