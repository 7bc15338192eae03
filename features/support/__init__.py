"""Support code of the scenarios: simulations, fakes, processes, checker."""
