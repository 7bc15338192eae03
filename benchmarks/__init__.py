"""Benchmarks of decisions, of the programs and of memory."""
