"""Measure decisions on models of engines, without any I/O."""
