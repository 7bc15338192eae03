"""Benchmarks of scheduling decisions, processes and resource use."""
