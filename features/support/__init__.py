"""What the scenarios share: stand-ins, processes, relays, checkers."""
