"""The gateways and sidecars of a deployment, simulated without I/O."""

import random
from collections import deque
from collections.abc import Sequence

from hawthornyard.core import Message, PeerDown, PeerUp, Tick
from hawthornyard.frames import ConfigPush, Frame, Generation, RecordEntry
from hawthornyard.gateway.messages import Admitted, ReplyEnded, ReplyFailed, Request
from hawthornyard.policy import Calibration, LengthSource, length_quantile
from hawthornyard.records import Team
from hawthornyard.sidecar.messages import CallEndpoint, CancelCall, EndpointLoadReport

from .documents import SERVICES, deployment_entries, domain_entry
from .members import GatewayMember, Member, SidecarMember
from .runner import Runner
from .score import JobRecord
from .variant import Variant
from .workload import MODEL, PREFIX_TOKENS, Job
from .world import World

GATEWAY_NAMES = ("gateway-0", "gateway-1")
TICK_INTERVAL_S = 0.2
TICKS_PER_REPORT = 3
PREDICTED_QUANTILE = 0.9
CHARACTERS_PER_TOKEN = 4
MAX_OUTPUT_TOKENS = 1 << 15


class System:
    """Gateways and sidecars that exchange frames without delay.

    Args:
        world: The runners and the event loop.
        variant: The exchangeable parts, such as predictor and routing policy.

    Attributes:
        calibration: Share of outputs no longer than the predicted quantile.
    """

    __slots__ = (
        "_attempt_ids",
        "_gateways",
        "_is_delivering",
        "_n_ids",
        "_n_ticks",
        "_predicted_lengths",
        "_queue",
        "_records",
        "_revision",
        "_sidecars",
        "_variant",
        "_world",
        "calibration",
    )

    def __init__(self, world: World, variant: Variant) -> None:
        self._world = world
        self._variant = variant
        self._records: dict[str, JobRecord] = {}
        self._attempt_ids: dict[str, str] = {}
        self._predicted_lengths: dict[str, int] = {}
        self._queue: deque[tuple[Member, Message]] = deque()
        self._is_delivering = False
        self._n_ids = 0
        self._n_ticks = 0
        self._revision = 0
        self.calibration = Calibration(PREDICTED_QUANTILE)
        self._gateways = [self._create_gateway(name) for name in GATEWAY_NAMES]
        self._sidecars: dict[str, SidecarMember] = {}
        limits = {
            name: variant.initial_limit(runner)
            for name, runner in world.runners.items()
        }
        self._push_records(deployment_entries(world.spec, limits))
        for gateway in self._gateways:
            for peer in GATEWAY_NAMES:
                if peer != gateway.name:
                    self.enqueue(gateway, PeerUp(peer))
        for runner in world.runners.values():
            runner.on_first_token = self._on_first_token
            runner.on_finished = self._on_finished
            self.on_runner_started(runner)
        world.loop.every(TICK_INTERVAL_S, self._tick)

    def new(self) -> str:
        """Return a unique identifier."""
        self._n_ids += 1
        return f"id-{self._n_ids}"

    def on_arrival(self, record: JobRecord) -> None:
        """Hand a job to the next gateway in turn."""
        job = record.job
        self._records[job.id] = record
        gateway = self._gateways[len(self._records) % len(GATEWAY_NAMES)]
        work = Generation(
            MODEL, _build_prompt(job), MAX_OUTPUT_TOKENS, priority=job.priority
        )
        request = Request(
            job.id,
            job.id,
            work,
            Team(self._variant.charged_team(job.team), ""),
            SERVICES[job.service],
            idempotent=True,
            deadline=job.deadline,
        )
        gateway.inflight.add(request)
        self.enqueue(gateway, Admitted(request))

    def on_domain_change(self, domain: str, in_service: bool) -> None:
        """Push the changed record of a failure domain to the gateways."""
        self._push_records([domain_entry(domain, in_service=in_service)])

    def on_runner_died(self, runner: Runner, lost: Sequence[JobRecord]) -> None:
        """Remove the runner's sidecar and disconnect it from the gateways."""
        del self._sidecars[runner.spec.name]
        for gateway in self._gateways:
            self.enqueue(gateway, PeerDown(runner.spec.name))

    def on_runner_started(self, runner: Runner) -> None:
        """Create a sidecar for a runner and connect it to the gateways."""
        predictor = self._variant.predictor(self._records)
        sidecar = SidecarMember(
            runner,
            self.new(),
            self,
            self._world.loop.clock,
            predictor,
            self._variant.memory(self._records, predictor),
        )
        self._sidecars[sidecar.name] = sidecar
        for gateway in self._gateways:
            self.enqueue(sidecar, PeerUp(gateway.name))
            self.enqueue(gateway, PeerUp(sidecar.name))

    def enqueue(self, member: Member, msg: Message) -> None:
        """Push a message into a member after all messages queued before it."""
        self._queue.append((member, msg))
        if self._is_delivering:
            return
        self._is_delivering = True
        while self._queue:
            receiver, queued = self._queue.popleft()
            receiver.pipeline.push(queued)
        self._is_delivering = False

    def deliver(self, sender: str, frame: Frame) -> None:
        """Deliver a frame to the member that `frame.peer` names."""
        members: list[Member] = [*self._gateways, *self._sidecars.values()]
        for member in members:
            if member.name == frame.peer:
                self.enqueue(member, frame.with_peer(sender))
                return

    def on_call(self, sidecar: SidecarMember, msg: CallEndpoint) -> None:
        """Submit an attempt to the sidecar's runner."""
        record = self._records[msg.attempt.request_id]
        job = record.job
        self._attempt_ids[job.id] = msg.attempt.attempt_id
        source = LengthSource(job.id, job.service, job.team, MODEL, MAX_OUTPUT_TOKENS)
        self._predicted_lengths[job.id] = length_quantile(
            sidecar.predictor, source, 0, PREDICTED_QUANTILE
        )
        sidecar.runner.submit(record)

    def on_cancel(self, sidecar: SidecarMember, msg: CancelCall) -> None:
        """Cancel an attempt at the sidecar's runner."""
        attempt = sidecar.attempts.get(msg.attempt_id)
        if attempt is not None:
            sidecar.runner.cancel(self._records[attempt.request_id].job)

    def on_reply_ended(self, msg: ReplyEnded) -> None:
        """Record a complete answer."""
        record = self._records[msg.call_id]
        record.ended_at = self._world.loop.clock.now()
        predicted = self._predicted_lengths.get(msg.call_id, 0)
        self.calibration.add(predicted, record.job.n_output)

    def on_reply_failed(self, msg: ReplyFailed) -> None:
        """Record a refusal or a lost generation."""
        record = self._records[msg.call_id]
        now = self._world.loop.clock.now()
        if record.first_token_at is None:
            record.refused_at = now
        else:
            record.is_lost = now < record.job.deadline

    def _create_gateway(self, name: str) -> GatewayMember:
        rng = random.Random(f"{name}/{self._world.seed}")
        return GatewayMember(
            name,
            [peer for peer in GATEWAY_NAMES if peer != name],
            self,
            self._world.loop.clock,
            rng,
            self,
            self._variant.predictor(self._records),
            self._variant.routing(rng),
        )

    def _on_first_token(self, record: JobRecord) -> None:
        for sidecar in self._sidecars.values():
            self._flush_tokens(sidecar, record.job.id)

    def _on_finished(self, record: JobRecord) -> None:
        attempt_id = self._attempt_ids.pop(record.job.id, "")
        for sidecar in self._sidecars.values():
            if sidecar.attempts.get(attempt_id) is not None:
                sidecar.flush(attempt_id, record.job.n_output)
                sidecar.finish(attempt_id)

    def _flush_tokens(self, sidecar: SidecarMember, job_id: str) -> None:
        attempt_id = self._attempt_ids.get(job_id, "")
        sidecar.flush(attempt_id, sidecar.runner.n_done(job_id))

    def _tick(self) -> None:
        self._n_ticks += 1
        now = self._world.loop.clock.now()
        for sidecar in list(self._sidecars.values()):
            for job_id in sidecar.runner.job_ids():
                self._flush_tokens(sidecar, job_id)
            if self._n_ticks % TICKS_PER_REPORT == 0:
                self._report_load(sidecar)
            self.enqueue(sidecar, Tick(now))
        for gateway in self._gateways:
            self.enqueue(gateway, Tick(now))

    def _report_load(self, sidecar: SidecarMember) -> None:
        load = sidecar.runner.model.load()
        report = EndpointLoadReport(
            load.n_running, load.n_waiting, load.memory_used, load.n_preempted
        )
        self.enqueue(sidecar, report)

    def _push_records(self, entries: Sequence[RecordEntry]) -> None:
        self._revision += 1
        stamped = [
            RecordEntry(entry.kind, entry.name, self._revision, entry.document)
            for entry in entries
        ]
        for gateway in self._gateways:
            push = ConfigPush(self._revision - 1, self._revision, stamped)
            self.enqueue(gateway, push.with_peer(""))


def _build_prompt(job: Job) -> str:
    prefix = job.prefix.ljust(PREFIX_TOKENS * CHARACTERS_PER_TOKEN, ".")
    return prefix.ljust((job.n_prompt - 1) * CHARACTERS_PER_TOKEN, "-")
