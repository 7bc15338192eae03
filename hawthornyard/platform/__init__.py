"""Translate between the users' platform and the gateway's typed messages.

This package holds the platform's names, formats and calls; it decides nothing.
"""
