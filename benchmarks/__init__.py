"""Benchmarks of decisions and of the programs."""
