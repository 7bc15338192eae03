"""Filters of a gateway that calls endpoints directly, without sidecars."""
