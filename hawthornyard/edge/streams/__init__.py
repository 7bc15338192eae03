"""Keep streams alive when their endpoint leaves or fails.

The chain is Migrate, FinalCopies, Resume.
"""

from .candidates import CopyCandidates
from .final_copy import FinalCopies
from .migrate import Migrate
from .resume import Resume
from .resumption import Resumption

__all__ = ["CopyCandidates", "FinalCopies", "Migrate", "Resume", "Resumption"]
