"""Refuse tracked symbolic links that leave the repository.

Such a link points to nothing, or to a stranger's files, in any other clone.
"""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LINK_MODE = b"120000"


def find_leaving_links(root: Path) -> list[str]:
    """Return the tracked links below `root` whose targets are not below it.

    Args:
        root: Top folder of a git repository.

    Raises:
        subprocess.CalledProcessError: If git can't list the files.
    """
    listing = subprocess.run(
        ["git", "ls-files", "--stage", "-z"], cwd=root, capture_output=True, check=True
    )
    leaving = []
    for entry in listing.stdout.split(b"\0"):
        if not entry.startswith(LINK_MODE):
            continue
        path = root / os.fsdecode(entry.partition(b"\t")[2])
        if not path.is_symlink():
            # It has been replaced or removed in the working tree.
            continue
        target = path.readlink()
        resolved = Path(os.path.normpath(path.parent / target))
        if target.is_absolute() or not resolved.is_relative_to(root):
            leaving.append(f"{path.relative_to(root)} -> {target}")
    return leaving


def main() -> int:
    """Print the links that leave the repository; return 1 if there are any."""
    leaving = find_leaving_links(ROOT)
    for link in leaving:
        print(f"tracked link leaves the repository: {link}")
    return 1 if leaving else 0


if __name__ == "__main__":
    sys.exit(main())
