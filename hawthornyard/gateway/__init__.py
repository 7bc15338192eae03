"""The gateway: takes calls, chooses endpoints, relays output to callers."""
