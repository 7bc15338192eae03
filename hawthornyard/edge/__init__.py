"""Hold the filters of a gateway that calls endpoints itself, without sidecars."""
