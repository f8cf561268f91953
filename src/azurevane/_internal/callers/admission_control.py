"""State by which an entry host admits jobs: estimate, part and promises."""

from collections.abc import Callable
import dataclasses

from azurevane._internal.models import admission
from azurevane._internal.models import job as job_models
from azurevane._internal.policy import admission as policy
from azurevane._internal.policy import job_order
from azurevane._internal.policy import return_order
from azurevane._internal.scheduler import leadership
from azurevane._internal.scheduler import records

# A job that was accepted this long before an estimate arrived may have been
# stored too late for it, so it counts against the new part as well.
ACCEPTED_UNSEEN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A decision on a job, with its inputs.

    Attributes:
        beyond_share: whether the job's team is beyond its share.
        estimate_age_s: greatest age of the estimate; 0 without one.
        estimate_number: number of the estimate, or 0.
        accepted_cpu: work that this host has accepted since the estimate.
        part_cpu: work that it might accept.
        plan: when the caller should come back, if it is refused.
    """

    decision: policy.Decision
    beyond_share: bool = False
    estimate_age_s: float = 0.0
    estimate_number: int = 0
    accepted_cpu: float = 0.0
    part_cpu: float = 0.0
    plan: return_order.ReturnPlan | None = None


class AdmissionControl:
    """Decides on the jobs that one host receives; bounded in size.

    Args:
        host_name: name of this host, as in the estimate's shares.
        seconds: returns monotonic time, also counted while suspended.
    """

    def __init__(self, host_name: str, seconds: Callable[[], float]) -> None:
        self.host_name = host_name
        self._seconds = seconds
        self._estimate: admission.AdmissionEstimate | None = None
        self._estimate_known_since = float("-inf")
        # Time, queue, whether beyond its team's share, and work of the jobs
        # accepted since the estimate.
        self._accepted: list[tuple[float, str, bool, admission.Amount]] = []
        self._promised_by_queue: dict[str, dict[int, float]] = {}
        self._team_rate_meter = job_order.TeamRateMeter()

    def set_estimate(
        self,
        estimate: admission.AdmissionEstimate | None,
        known_since: float,
    ) -> None:
        """Replace the estimate by the leader's newest one.

        Args:
            known_since: monotonic time before which it can't have been
                stored. A host that was suspended reads it late, so its own
                time of receipt says nothing about its age.
        """
        previous, self._estimate = self._estimate, estimate
        if estimate is None:
            self._accepted.clear()
            return
        if previous is not None and (previous.token, previous.number) == (
            estimate.token,
            estimate.number,
        ):
            # The same parts, of which some may be spent.
            return
        self._estimate_known_since = known_since
        unseen_since = self._seconds() - ACCEPTED_UNSEEN_S
        self._accepted = [
            entry for entry in self._accepted if entry[0] >= unseen_since
        ]

    def decide(
        self,
        job: job_models.Job,
        refusal: records.Refusal | None,
        team_weight: float,
    ) -> Admission:
        """Decide on a job.

        Args:
            refusal: what was stored when the job was refused before, or
                None.
            team_weight: jobs a second that are the share of its team.
        """
        if not policy.may_refuse(job):
            return _accept(policy.Reason.NOT_SUBJECT)
        estimate = self._estimate
        if estimate is None:
            return _accept(policy.Reason.NO_ESTIMATE)
        queue = estimate.find_queue(job.queue)
        if queue is None:
            return _accept(policy.Reason.NO_BACKLOG)
        age_s = self._seconds() - self._estimate_known_since
        size = policy.measure_job(job)
        beyond = self._is_beyond_share(job, estimate, team_weight)
        position = policy.Position(
            self._accepted_work(job.queue, beyond=beyond),
            policy.find_part(estimate, queue, self.host_name),
            beyond,
            came_back=refusal is not None,
        )
        decision = policy.decide(size, queue, age_s, position)
        plan = None
        if not decision.accepted:
            waited_s = refusal.waited_s(job.accepted_at) if refusal else 0.0
            plan = self._plan_return(
                job.queue, size, queue, decision, age_s, waited_s
            )
        return Admission(
            decision,
            beyond,
            age_s,
            estimate.number,
            position.accepted.cpu,
            position.part,
            plan,
        )

    def record_accepted(
        self, job: job_models.Job, *, beyond_share: bool
    ) -> None:
        """Count a job that was stored against this host's part."""
        estimate = self._estimate
        if estimate is None or job.queue not in estimate.index_by_queue:
            return
        if policy.may_refuse(job):
            work = policy.measure_job(job).work
            self._accepted.append(
                (self._seconds(), job.queue, beyond_share, work)
            )

    def _accepted_work(self, queue: str, *, beyond: bool) -> admission.Amount:
        """Return the work accepted that is served before another job.

        Jobs beyond their teams' shares are served after those within.
        """
        total = admission.Amount()
        for _, name, excess, work in self._accepted:
            if name == queue and (beyond or not excess):
                total = total.plus(work)
        return total

    def _is_beyond_share(
        self,
        job: job_models.Job,
        estimate: admission.AdmissionEstimate,
        team_weight: float,
    ) -> bool:
        """Whether a team has used up its share, as far as this host sees.

        The leader says which teams are beyond their share. Of such a team
        each host still takes its part of the share.
        """
        if job.team not in estimate.teams_beyond_share or not team_weight:
            return False
        rate = team_weight * self._share(estimate)
        return self._team_rate_meter.count_job(job.team, rate, self._seconds())

    def _share(self, estimate: admission.AdmissionEstimate) -> float:
        listed = 0
        for share in estimate.shares:
            if share.host == self.host_name:
                return share.permille / 1000
            listed += share.permille
        return (1000 - listed) / 1000 / policy.RESERVE_SLOTS

    def _plan_return(
        self,
        queue_name: str,
        size: policy.JobSize,
        queue: admission.QueueEstimate,
        decision: policy.Decision,
        age_s: float,
        waited_s: float,
    ) -> return_order.ReturnPlan:
        assert self._estimate is not None
        now = self._seconds()
        beyond = decision.reason is policy.Reason.BEYOND_SHARE
        booked = policy.booked_work(queue, beyond=beyond)
        drained_s = policy.drained_after_s(queue, booked) - age_s
        frees_in_s = leadership.RENEWAL_INTERVAL_S
        if decision.reason is not policy.Reason.PART_SPENT:
            frees_in_s = max(drained_s - size.useful_slack_s, frees_in_s)
        capacity = queue.ready.cpu + queue.coming.cpu
        outlook = return_order.QueueOutlook(
            frees_in_s,
            capacity * self._share(self._estimate),
            drained_s - size.slack_s,
        )
        promised = self._promised(queue_name, now)
        refused = return_order.RefusedJob(
            size.work.cpu,
            size.useful_slack_s - waited_s,
            preferred=waited_s > 0 or size.work.cpu > queue.unit,
        )
        plan = return_order.plan_return(refused, outlook, promised, now)
        second = int(now + plan.retry_after_s)
        promised[second] = promised.get(second, 0.0) + size.work.cpu
        return plan

    def _promised(self, queue_name: str, now: float) -> dict[int, float]:
        """Return the promises of a queue that aren't due yet."""
        promised = {
            second: work
            for second, work in self._promised_by_queue.get(
                queue_name, {}
            ).items()
            if second >= int(now)
        }
        self._promised_by_queue[queue_name] = promised
        return promised


def _accept(reason: policy.Reason) -> Admission:
    return Admission(policy.Decision(True, reason))
