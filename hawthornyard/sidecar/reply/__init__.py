"""Filters that send output from the endpoint to gateways."""

from .attach import AttachPeers
from .number import NumberOutput

__all__ = ["AttachPeers", "NumberOutput"]
