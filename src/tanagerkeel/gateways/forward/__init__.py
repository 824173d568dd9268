"""Forwarding of requests to nodes of other failure domains, over HTTP."""

from tanagerkeel.gateways.forward._app import ForwardHandler, make_forward_app
from tanagerkeel.gateways.forward._client import ForwardFailed, HttpForwardGateway
from tanagerkeel.gateways.forward._messages import (
    ForwardedCall,
    ForwardedModelRequest,
    ForwardReply,
)
from tanagerkeel.gateways.request_signature import ForwardSigner, ForwardVerifier

__all__ = [
    "ForwardFailed",
    "ForwardHandler",
    "ForwardReply",
    "ForwardSigner",
    "ForwardVerifier",
    "ForwardedCall",
    "ForwardedModelRequest",
    "HttpForwardGateway",
    "make_forward_app",
]
