"""Keep streams alive whose endpoint leaves or dies.

The chain is Resume, Migrate.
"""

from .migrate import Migrate
from .resume import Resume

__all__ = ["Migrate", "Resume"]
