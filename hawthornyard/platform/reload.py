"""Reload the settings when the platform signals a change."""

from pathlib import Path

from loguru import logger

from ..core import Consumers, ReloadRequested
from ..edge.chain import EdgeState
from ..errors import SettingsError
from .settings import EdgeSettings, load_edge_settings

KEY_AGE_MARGIN_S = 0.5
"""Time by which keys expire before their maximum age, since calls that were admitted
shortly before are still on their way to endpoints."""

# Settings that need a restart, since sockets are bound and the store's address is set
# only at start-up. The log names those that differ from the settings at start-up.
_RESTART_ONLY = (
    "address",
    "listen",
    "metrics_port",
    "peer_port",
    "ready_listen",
    "store",
)


class ReloadSink:
    """Sink that reloads the settings file and applies its bounds.

    The bounds limit retries, the age of team keys, the time in which a leaving endpoint
    may get new work, the time of a stop and the exposure of rollouts. All other
    settings need a restart.

    Args:
        path: Path of the settings file.
        settings: Settings at start-up.
        state: State that the filters share.
    """

    __slots__ = ("_path", "_settings", "_state", "consumers")

    def __init__(self, path: Path, settings: EdgeSettings, state: EdgeState) -> None:
        self._path = path
        self._settings = settings
        self._state = state
        self.consumers: Consumers = {ReloadRequested: self._on_reload_requested}

    def _on_reload_requested(self, msg: ReloadRequested) -> None:
        log = logger.bind(process=self._settings.name)
        try:
            settings = load_edge_settings(self._path)
        except SettingsError as exc:
            log.bind(detail=str(exc)).error("reload_refused")
            return
        needs_restart = [
            name
            for name in _RESTART_ONLY
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        apply_bounds(self._state, settings)
        log.bind(needs_restart=needs_restart).info("reloaded")


def apply_bounds(state: EdgeState, settings: EdgeSettings) -> None:
    """Apply the bounds of the settings to the state that the filters share."""
    state.grace.seconds = settings.grace_s
    state.retry_budget.set_limits(
        ratio=settings.repeat_ratio,
        slack=settings.repeat_slack,
        window_s=settings.repeat_window_s,
    )
    state.rollouts.bounds = settings.rollout_bounds
    state.pace.leave_bound_s = settings.leave_bound_s
    max_age_s = settings.key_max_age_s
    if max_age_s is not None:
        max_age_s -= KEY_AGE_MARGIN_S
    state.directory.key_ttl_s = max_age_s
