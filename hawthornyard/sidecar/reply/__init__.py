"""Carry output from the endpoint to gateways: AttachPeers, NumberOutput."""

from .attach import AttachPeers
from .number import NumberOutput

__all__ = ["AttachPeers", "NumberOutput"]
