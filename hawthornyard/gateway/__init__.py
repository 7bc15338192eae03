"""The gateway accepts calls, chooses endpoints and relays output to callers."""
