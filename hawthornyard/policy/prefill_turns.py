"""Decide whether a long prompt may begin at an engine."""

LONG_SHARE = 0.125
"""A prompt is long if reading it takes this share of the shortest target latency of its
service: eight of them in a row would use the whole target of a request behind them."""


def is_long(prompt_s: float, shortest_target_s: float) -> bool:
    """Return whether a prompt takes long enough to delay the others at an engine.

    Args:
        prompt_s: Seconds that the engine needs to read the prompt.
        shortest_target_s: Shortest target latency of the service in seconds.
    """
    return prompt_s >= LONG_SHARE * shortest_target_s


def may_begin_long(prompt_s: float, reading_s: float | None, slack_s: float) -> bool:
    """Return whether a long prompt may begin now at an engine.

    Addresses bursts of long prompts that meet at one engine: the short ones behind them
    wait for all of them, while other engines read nothing. One long prompt at a time
    bounds that wait, and costs the long one nothing that it would not have waited for
    at the engine.

    Args:
        prompt_s: Seconds that the engine needs to read the prompt.
        reading_s: Seconds until it has read the long prompts that have begun there,
            None if there are none.
        slack_s: Seconds until the first event of the request is due. A prompt that
            would miss that after its turn does not wait for it.
    """
    return reading_s is None or reading_s + prompt_s > slack_s
