"""What the fault scenarios share: history, checker, world, relay, processes."""
