"""Benchmark of the scheduling decisions in a simulation without I/O."""
