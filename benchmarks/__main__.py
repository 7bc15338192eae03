"""Entry point of the policy benchmark."""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

from benchmarks.policy.command import app  # noqa: E402

if __name__ == "__main__":
    app()
