"""The sidecar: the only way to its endpoint."""
