"""Sidecar process: all requests to its endpoint pass through it."""
