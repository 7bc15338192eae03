"""Address of all processes of a soak."""

LOOPBACK = "127.0.0.1"
