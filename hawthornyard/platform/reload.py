"""Read the settings again when the platform says that they have changed."""

from pathlib import Path

from loguru import logger

from ..core import Consumers, ReloadRequested
from ..edge.chain import EdgeState
from ..errors import SettingsError
from .settings import EdgeSettings, load_edge_settings

KEY_MARGIN_S = 0.5
"""Keys are given up so long before their bound, for what is on its way already."""

# Sockets are bound once; a change of these needs a restart.
_FIXED = ("address", "listen", "metrics_port", "peer_port", "ready_listen", "store")


class ReloadSink:
    """Put changed bounds in force; all else needs a restart.

    Args:
        path: The settings file.
        settings: The settings in force.
        state: What the filters share.
    """

    __slots__ = ("_path", "_settings", "_state", "consumers")

    def __init__(self, path: Path, settings: EdgeSettings, state: EdgeState) -> None:
        self._path = path
        self._settings = settings
        self._state = state
        self.consumers: Consumers = {ReloadRequested: self._on_requested}

    def _on_requested(self, msg: ReloadRequested) -> None:
        log = logger.bind(process=self._settings.name)
        try:
            settings = load_edge_settings(self._path)
        except SettingsError as exc:
            log.bind(detail=str(exc)).error("reload_refused")
            return
        fixed = [
            name
            for name in _FIXED
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        apply_bounds(self._state, settings)
        log.bind(needs_restart=fixed).info("reloaded")


def apply_bounds(state: EdgeState, settings: EdgeSettings) -> None:
    """Put the bounds of some settings in force."""
    state.retry_budget.set_limits(
        ratio=settings.repeat_ratio,
        slack=settings.repeat_slack,
        window_s=settings.repeat_window_s,
    )
    state.pace.leave_bound_s = settings.leave_bound_s
    max_age_s = settings.key_max_age_s
    if max_age_s is not None:
        max_age_s -= KEY_MARGIN_S
    state.directory.key_ttl_s = max_age_s
