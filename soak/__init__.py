"""Soak gateways of the platform in faults that are drawn from a seed.

The gateways and the endpoints are processes; the store, the callers and the relays on
the links live in the process of the soak. `python -m soak --help` tells how to run it.
"""
