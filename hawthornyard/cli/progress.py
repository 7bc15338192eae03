"""Show progress bars for long operations."""

import contextlib
from collections.abc import Callable, Iterator

from rich.progress import Progress

from .output import make_console

OnProgress = Callable[[int, int], None]


@contextlib.contextmanager
def show_progress(label: str) -> Iterator[OnProgress]:
    """Show a progress bar and yield a function that updates it.

    The function takes the number of finished steps and of all steps. Without a
    terminal no bar is shown.

    Args:
        label: Text beside the bar.
    """
    console = make_console(to_stderr=True)
    with Progress(
        console=console,
        # Automatic refresh would start a thread.
        auto_refresh=False,
        transient=True,
        disable=not console.is_terminal,
    ) as progress:
        task = progress.add_task(label, total=None)

        def on_progress(n_done: int, n_all: int) -> None:
            progress.update(task, total=n_all, completed=n_done)
            progress.refresh()

        yield on_progress
