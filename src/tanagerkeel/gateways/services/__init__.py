"""Gateway to plain services: the interface and its HTTP implementation."""

from tanagerkeel.gateways.services._http import HttpServiceGateway
from tanagerkeel.gateways.services._protocol import (
    ServiceCall,
    ServiceGateway,
    ServiceReply,
)

__all__ = ["HttpServiceGateway", "ServiceCall", "ServiceGateway", "ServiceReply"]
