"""What the advisor has answered, and what it is to be asked next."""

from collections.abc import Collection, Iterable, Mapping, Sequence
import dataclasses

from azurevane._internal.models import site
from azurevane._internal.scheduler import runner_state

# Share of a ticket's validity that is used; the rest covers the time until
# the runner has received it.
TICKET_VALIDITY_SHARE = 0.8
# A runner that isn't allowed is asked about again after this time, since the
# part of an answer that concerns it may have been malformed.
REFUSAL_VALIDITY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Asks the advisor which runners may run a step.

    Attributes:
        service: service of the runners.
        started_at_by_runner: the runners, and the Unix time in seconds of
            the start of their incarnations.
    """

    step_name: str
    service: str
    started_at_by_runner: Mapping[str, float]
    times: site.AdvisorTimes

    @property
    def expected_s(self) -> float:
        """Time that the advisor should work on it, in seconds."""
        return self.times.call_s(len(self.started_at_by_runner))


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerAdvice:
    """The advisor's answer about one incarnation of a runner.

    Attributes:
        ticket: ticket for starts on the runner; empty if it isn't allowed.
        valid_until: monotonic time from which the answer isn't used.
    """

    started_at: float
    ticket: str
    valid_until: float


class AdviceBook:
    """Answers about steps that wait, and requests; monotonic seconds."""

    def __init__(self) -> None:
        self._advice_by_runner_by_step: dict[
            str, dict[str, dict[str, RunnerAdvice]]
        ] = {}
        self._requests_by_service: dict[str, tuple[AdviceRequest, ...]] = {}
        self._renewal_by_step: dict[str, AdviceRequest] = {}
        self._last_asked_service = ""

    def find(
        self,
        service: str,
        step_name: str,
        runner: runner_state.RunnerState,
        now: float,
    ) -> RunnerAdvice | None:
        """Return the answer about a runner, if one is valid."""
        steps = self._advice_by_runner_by_step.get(service, {})
        advice = steps.get(step_name, {}).get(runner.id)
        if advice is None or advice.started_at != runner.started_at:
            return None
        return advice if now < advice.valid_until else None

    def answered_runners(
        self, service: str, step_name: str
    ) -> Collection[str]:
        """Return the runners about which an answer is kept for a step."""
        steps = self._advice_by_runner_by_step.get(service, {})
        return steps.get(step_name, {}).keys()

    def set_requests(
        self, service: str, requests: Sequence[AdviceRequest]
    ) -> None:
        """Replace what is to be asked about a service, in order."""
        self._requests_by_service[service] = tuple(requests)

    def request_renewal(self, renewal: AdviceRequest) -> None:
        """Ask for new tickets for starts that are decided already."""
        earlier = self._renewal_by_step.get(renewal.step_name)
        if earlier is not None:
            renewal = dataclasses.replace(
                renewal,
                started_at_by_runner={
                    **earlier.started_at_by_runner,
                    **renewal.started_at_by_runner,
                },
            )
        self._renewal_by_step[renewal.step_name] = renewal

    def next_request(
        self, excluded_steps: Collection[str]
    ) -> AdviceRequest | None:
        """Return the request to send next; the services take turns.

        Renewals go first, as capacity is kept for their starts.
        """
        for name, renewal in self._renewal_by_step.items():
            if name not in excluded_steps:
                return renewal
        services = sorted(self._requests_by_service)
        # False sorts first, so the services after the last one come first.
        services.sort(key=lambda name: name <= self._last_asked_service)
        for service in services:
            for request in self._requests_by_service[service]:
                if request.step_name not in excluded_steps:
                    self._last_asked_service = service
                    return request
        return None

    def record_answer(
        self,
        request: AdviceRequest,
        ticket_by_runner: Mapping[str, str],
        valid_s: float,
        now: float,
    ) -> None:
        """Record the advisor's answer to a request.

        Args:
            valid_s: time from the answer until its tickets expire.
        """
        steps = self._advice_by_runner_by_step.setdefault(request.service, {})
        advice_by_runner = steps.setdefault(request.step_name, {})
        for runner_id, started_at in request.started_at_by_runner.items():
            ticket = ticket_by_runner.get(runner_id, "")
            validity_s = (
                valid_s * TICKET_VALIDITY_SHARE
                if ticket
                else REFUSAL_VALIDITY_S
            )
            advice_by_runner[runner_id] = RunnerAdvice(
                started_at, ticket, now + validity_s
            )
        if self._renewal_by_step.get(request.step_name) is request:
            del self._renewal_by_step[request.step_name]
        self.set_requests(
            request.service,
            [
                other
                for other in self._requests_by_service.get(request.service, ())
                if other.step_name != request.step_name
            ],
        )

    def drop_ticket(
        self, service: str, step_name: str, runner_id: str
    ) -> None:
        """Forget a ticket that a runner has rejected."""
        steps = self._advice_by_runner_by_step.get(service, {})
        steps.get(step_name, {}).pop(runner_id, None)

    def drop_renewal(self, step_name: str) -> None:
        """Ask for no new tickets for the starts of a step."""
        self._renewal_by_step.pop(step_name, None)

    def keep_steps(self, service: str, step_names: Iterable[str]) -> None:
        """Forget the answers about all other steps of a service."""
        kept = set(step_names)
        steps = self._advice_by_runner_by_step.get(service, {})
        for step_name in list(steps):
            if step_name not in kept:
                del steps[step_name]

    def keep_services(self, services: Collection[str]) -> None:
        """Forget answers and requests of all other services."""
        for by_service in (
            self._advice_by_runner_by_step,
            self._requests_by_service,
        ):
            for service in [
                name for name in by_service if name not in services
            ]:
                del by_service[service]

    @property
    def step_count(self) -> int:
        """Number of steps of which answers are kept."""
        return sum(map(len, self._advice_by_runner_by_step.values()))
