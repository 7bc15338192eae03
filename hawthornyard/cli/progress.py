"""Show progress of what takes long."""

import contextlib
from collections.abc import Callable, Iterator

from rich.progress import Progress

from .output import make_console

OnProgress = Callable[[int, int], None]


@contextlib.contextmanager
def show_progress(label: str) -> Iterator[OnProgress]:
    """Yield a function that is told how much is done, and of how much.

    Args:
        label: What is going on.
    """
    console = make_console(to_stderr=True)
    with Progress(
        console=console,
        # Without it no thread is started.
        auto_refresh=False,
        transient=True,
        disable=not console.is_terminal,
    ) as progress:
        task = progress.add_task(label, total=None)

        def on_progress(n_done: int, n_all: int) -> None:
            progress.update(task, total=n_all, completed=n_done)
            progress.refresh()

        yield on_progress
