"""What the scenarios share: history, checker, world, relays, processes."""
