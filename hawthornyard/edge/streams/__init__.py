"""Keep streams alive when their endpoint leaves or fails.

The chain is Resume, Migrate.
"""

from .migrate import Migrate
from .resume import Resume

__all__ = ["Migrate", "Resume"]
