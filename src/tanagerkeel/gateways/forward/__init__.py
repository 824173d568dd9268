"""Forwarding of requests to nodes of other failure domains, over HTTP."""

from tanagerkeel.gateways.forward._app import ForwardHandler, make_forward_app
from tanagerkeel.gateways.forward._client import ForwardBroken, HttpForwardGateway
from tanagerkeel.gateways.forward._messages import (
    ForwardedCall,
    ForwardedModel,
    ForwardReply,
)
from tanagerkeel.gateways.forward._signature import ForwardSigner, ForwardVerifier

__all__ = [
    "ForwardBroken",
    "ForwardHandler",
    "ForwardReply",
    "ForwardSigner",
    "ForwardVerifier",
    "ForwardedCall",
    "ForwardedModel",
    "HttpForwardGateway",
    "make_forward_app",
]
