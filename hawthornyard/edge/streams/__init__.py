"""Keep streams alive when their endpoint leaves or fails.

The chain is Resume, Migrate.
"""

from .candidates import CopyCandidates
from .migrate import Migrate
from .resume import Resume
from .resumption import Resumption

__all__ = ["CopyCandidates", "Migrate", "Resume", "Resumption"]
