"""Scenarios that specify the behaviour of hawthornyard."""
