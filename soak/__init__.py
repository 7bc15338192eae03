"""Soak test of the platform's gateways under fault injection.

A seed determines the faults and the callers' requests. Gateways and endpoints run as
processes; the store, the callers and the relays between them run in the soak's own
process. See `python -m soak --help`.
"""
