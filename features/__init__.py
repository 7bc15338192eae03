"""The behaviour of hawthornyard, as scenarios."""
