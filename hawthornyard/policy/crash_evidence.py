"""Find the parts of prompts that end endpoints.

An endpoint ends as it begins the answer to a prompt with such a part. Each request
whose answer had just begun when its endpoint ended is a certain suspect, with all parts
of its prompt but the last, which no other prompt shares. A request of whose answer
nothing had arrived is a possible one: the end of a process may discard the head of an
answer that is on its way. A part whose answers go on is sound.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from ..core import Clock

# Crashes that accuse a part if its prompts are certain suspects of that many, if they
# are possible suspects, and if answers with the part had gone on before. All are below
# 5, the crashes after which gateways must keep the part from endpoints. With 3 possible
# ones, parts that a quarter of the prompts share were accused by chance.
MIN_CRASHES = 2
MIN_POSSIBLE_CRASHES = 4
MIN_CRASHES_IF_SOUND = 4
# Reports of the same endpoint within this time are about the same crash.
SAME_CRASH_S = 1.0
# Time after the first report of a crash from which its possible suspects count: by then
# all gateways have told theirs. Before, parts that most prompts share would be accused,
# as the rarer one was not reported yet.
REPORTS_SETTLE_S = 1.0
# Crashes that no accused part explains are forgotten after this time.
EVIDENCE_AGE_S = 120.0
# Time until an accused part is tried again, and its growth after each trial, which may
# end one more endpoint.
FIRST_TRIAL_S = 60.0
TRIAL_GROWTH = 4.0
# Bounds on memory.
MAX_CRASHES = 64
MAX_PREFIXES_PER_CRASH = 8
# All gateways together have as many requests at an engine as it has slots.
MAX_POSSIBLE_PREFIXES_PER_CRASH = 64
MAX_SOUND_PARTS = 4096
MAX_ACCUSED_PARTS = 256


class Crash:
    """One crash of an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        at: Monotonic time in seconds.
        heard_at: Monotonic time in seconds of its first report.
        prefixes: Shared parts of each certain suspect's prompt, in order.
        possible_prefixes: The same of each possible suspect.
    """

    __slots__ = ("at", "endpoint", "heard_at", "possible_prefixes", "prefixes")

    def __init__(self, endpoint: str, at: float, heard_at: float) -> None:
        self.endpoint = endpoint
        self.at = at
        self.heard_at = heard_at
        self.prefixes: list[Sequence[str]] = []
        self.possible_prefixes: list[Sequence[str]] = []

    def add(self, prefix: Sequence[str], *, is_certain: bool) -> None:
        """Add a suspect unless it is known or there are too many."""
        prefixes, n_max = self.possible_prefixes, MAX_POSSIBLE_PREFIXES_PER_CRASH
        if is_certain:
            prefixes, n_max = self.prefixes, MAX_PREFIXES_PER_CRASH
        if prefix not in prefixes and len(prefixes) < n_max:
            prefixes.append(prefix)

    def has_certain(self, part: str) -> bool:
        """Return whether a certain suspect's prompt has the part."""
        return any(part in prefix for prefix in self.prefixes)

    def depths(self) -> dict[str, int]:
        """Return the suspected parts with their largest positions in a prompt."""
        depths: dict[str, int] = {}
        for prefix in (*self.prefixes, *self.possible_prefixes):
            for depth, part in enumerate(prefix):
                depths[part] = max(depth, depths.get(part, 0))
        return depths


class _Accusation:
    """State of an accused part.

    Args:
        now: Monotonic time in seconds.
        crashes: Crashes that accuse the part.

    Attributes:
        crashes: Crashes that accuse the part.
        last_crash_at: Monotonic time in seconds of the newest crash that it explains.
        trial_at: Monotonic time in seconds of its next trial.
    """

    __slots__ = ("_hold_s", "_put_off_at", "crashes", "last_crash_at", "trial_at")

    def __init__(self, now: float, crashes: Sequence[Crash]) -> None:
        self.crashes = crashes
        self.last_crash_at = max(crash.at for crash in crashes)
        self._hold_s = FIRST_TRIAL_S
        self._put_off_at = now
        self.trial_at = now + FIRST_TRIAL_S

    def put_off_trial(self, at: float) -> None:
        """Put the next trial off, because of a trial or a crash at `at`.

        The time in quarantine grows once for a trial and the crash that it causes, and
        not for what was under way at the accusation.
        """
        if at - self._put_off_at >= FIRST_TRIAL_S / 2:
            self._hold_s *= TRIAL_GROWTH
            self._put_off_at = at
        self.trial_at = max(self.trial_at, at + self._hold_s)


class CrashEvidence:
    """Crashes of endpoints, and the parts of prompts that they accuse.

    The parts that explain most crashes are accused first; crashes that they explain
    accuse no other part that explains fewer. Among parts that explain equally many, the
    one deepest in its prompts is accused, as the fewest sound requests share it.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_accusations", "_clock", "_crashes", "_sound_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._crashes: list[Crash] = []
        self._accusations: dict[str, _Accusation] = {}
        # Time of the newest sound answer by part, the one noted last at the end.
        self._sound_at: OrderedDict[str, float] = OrderedDict()

    @property
    def n_accused(self) -> int:
        """Return the number of accused parts."""
        return len(self._accusations)

    @property
    def crashes(self) -> Sequence[Crash]:
        """Return the known crashes, oldest first."""
        return self._crashes

    @property
    def is_settling(self) -> bool:
        """Return whether possible suspects of a crash count since a moment, or soon."""
        since = self._clock.now() - 2 * REPORTS_SETTLE_S
        return any(crash.heard_at > since for crash in self._crashes)

    def accused_part(self, parts: Iterable[str]) -> str | None:
        """Return the first accused one among the parts, None if there is none."""
        return next((part for part in parts if part in self._accusations), None)

    def are_sound(self, parts: Iterable[str]) -> bool:
        """Return whether answers to prompts with each of the parts have gone on."""
        return all(part in self._sound_at for part in parts)

    def are_suspected(self, parts: Iterable[str]) -> bool:
        """Return whether one of the parts is accused or suspected of a crash."""
        return any(
            part in self._accusations or self._is_suspected(part) for part in parts
        )

    def note_crash(
        self,
        endpoint: str,
        at: float,
        prefix: Sequence[str],
        *,
        is_certain: bool = True,
    ) -> Crash:
        """Record that an endpoint ended as it began an answer.

        Args:
            endpoint: Name of the endpoint.
            at: Monotonic time in seconds of the crash.
            prefix: Shared parts of the prompt, in order.
            is_certain: Whether the answer had begun; else nothing of it had arrived.

        Returns:
            The crash, with all its known suspects.
        """
        crash = next(
            (
                known
                for known in self._crashes
                if known.endpoint == endpoint and abs(known.at - at) < SAME_CRASH_S
            ),
            None,
        )
        if crash is None:
            crash = Crash(endpoint, at, self._clock.now())
            self._crashes.append(crash)
            for part in prefix:
                accusation = self._accusations.get(part)
                if accusation is not None:
                    accusation.put_off_trial(at)
                    accusation.last_crash_at = max(accusation.last_crash_at, at)
        crash.add(prefix, is_certain=is_certain)
        self._forget_old()
        return crash

    def accuse(self) -> dict[str, list[Crash]]:
        """Accuse the parts that explain enough crashes.

        Returns:
            The newly accused parts with the crashes that they explain.
        """
        accused: dict[str, list[Crash]] = {}
        while (found := self._best_explanation()) is not None:
            part, crashes = found
            if len(self._accusations) >= MAX_ACCUSED_PARTS:
                del self._accusations[next(iter(self._accusations))]
            self._accusations[part] = _Accusation(self._clock.now(), crashes)
            accused[part] = crashes
        return accused

    def retract_explained(self, part: str) -> list[str]:
        """Release the accused parts whose crashes a newly accused part explains.

        Many prompts share some parts. While endpoints end one after the other, nothing
        shows that these are sound, and they may be accused first.

        Returns:
            The parts that were released.
        """
        released = []
        for other, accusation in list(self._accusations.items()):
            rest = [crash for crash in accusation.crashes if part not in crash.depths()]
            if other != part and not self._is_enough(other, rest):
                del self._accusations[other]
                released.append(other)
        return released

    def note_sound(
        self, parts: Iterable[str], began_at: float
    ) -> tuple[list[str], list[str]]:
        """Record that an answer to a prompt with these parts went on.

        It refutes the crashes before it began. It tells nothing of later ones, since a
        part may come to end endpoints at any time.

        Args:
            parts: The parts.
            began_at: Monotonic time in seconds of the first event of the answer.

        Returns:
            The parts that were suspected until now, and those that were accused.
        """
        suspected = []
        accused = []
        for part in parts:
            if self._is_suspected(part):
                suspected.append(part)
            accusation = self._accusations.get(part)
            if accusation is not None and began_at > accusation.last_crash_at:
                del self._accusations[part]
                accused.append(part)
            known_at = self._sound_at.get(part, began_at)
            self._sound_at[part] = max(known_at, began_at)
            self._sound_at.move_to_end(part)
        while len(self._sound_at) > MAX_SOUND_PARTS:
            self._sound_at.popitem(last=False)
        return suspected, accused

    def trial_wait_s(self, part: str) -> float:
        """Return the seconds until an accused part may be tried again."""
        accusation = self._accusations.get(part)
        if accusation is None:
            return 0.0
        return max(0.0, accusation.trial_at - self._clock.now())

    def begin_trial(self, part: str) -> None:
        """Record that a request is sent to see whether an accused part is sound."""
        self._accusations[part].put_off_trial(self._clock.now())

    def _best_explanation(self) -> tuple[str, list[Crash]] | None:
        crashes_by_part: dict[str, list[Crash]] = {}
        depth_by_part: dict[str, int] = {}
        for crash in self._crashes:
            for part, depth in crash.depths().items():
                if self._counts(crash, part):
                    crashes_by_part.setdefault(part, []).append(crash)
                    depth_by_part[part] = max(depth, depth_by_part.get(part, 0))

        def rank(part: str) -> tuple[int, int, str]:
            crashes = crashes_by_part.get(part, ())
            return len(crashes), depth_by_part.get(part, 0), part

        candidates: dict[str, list[Crash]] = {}
        for part, crashes in crashes_by_part.items():
            if part in self._accusations:
                continue
            # An accused part that explains more accounts for the crashes that it is in.
            unexplained = [
                crash
                for crash in crashes
                if not any(
                    other in self._accusations and rank(other) > rank(part)
                    for other in crash.depths()
                )
            ]
            if self._is_enough(part, unexplained):
                candidates[part] = unexplained
        if not candidates:
            return None
        best = max(candidates, key=lambda part: (len(candidates[part]), rank(part)))
        return best, candidates[best]

    def _counts(self, crash: Crash, part: str) -> bool:
        # Whether a crash counts for a part that is suspected of it.
        if crash.at <= self._sound_at.get(part, float("-inf")):
            return False
        is_settled = self._clock.now() - crash.heard_at >= REPORTS_SETTLE_S
        return is_settled or crash.has_certain(part)

    def _is_enough(self, part: str, crashes: Sequence[Crash]) -> bool:
        if part in self._sound_at:
            return len(crashes) >= MIN_CRASHES_IF_SOUND
        if len(crashes) >= MIN_POSSIBLE_CRASHES:
            return True
        return sum(crash.has_certain(part) for crash in crashes) >= MIN_CRASHES

    def _is_suspected(self, part: str) -> bool:
        sound_at = self._sound_at.get(part, float("-inf"))
        return any(
            crash.at > sound_at and part in crash.depths() for crash in self._crashes
        )

    def _forget_old(self) -> None:
        oldest = self._clock.now() - EVIDENCE_AGE_S
        self._crashes = [
            crash
            for crash in self._crashes
            if crash.at > oldest or self.accused_part(crash.depths()) is not None
        ][-MAX_CRASHES:]
