"""Measure decisions, wire and memory."""
