"""Borrower side of loans: asks, takes, renews and gives back permits."""

from collections.abc import Callable, Iterator
import dataclasses
import functools
import math

from azurevane._internal.models import effects
from azurevane._internal.models import permit_messages
from azurevane._internal.policy import limits
from azurevane._internal.tasks import permit_demand
from azurevane._internal.tasks import permit_ledger
from azurevane._internal.tasks import permit_lowering
from azurevane._internal.tasks import permits
from azurevane._internal.utils import timers

Effects = list[effects.Effect]
Timers = timers.Timers[Callable[[float], Effects]]
UsageOf = Callable[[float, str, str], tuple[permit_messages.Usage, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class _SentAsk:
    """Ask that loans may still answer.

    Attributes:
        loan_ids: loans that have answered it, taken or declined.
    """

    at: float
    topic: permit_demand.Topic
    loan_ids: set[int] = dataclasses.field(default_factory=set)


class Borrower:
    """Borrows permits for work that waits here.

    Args:
        ids: numbers of asks and renewals; the upper 32 bits identify
            this incarnation.
        usage_of: returns the slot seconds that an ask carries, from the
            time, the kind and the name of the ask.
    """

    def __init__(
        self,
        ledger: permit_ledger.Ledger,
        demand: permit_demand.Demand,
        lowering: permit_lowering.Lowering,
        due: Timers,
        ids: Iterator[int],
        usage_of: UsageOf,
    ) -> None:
        self.peers: tuple[str, ...] = ()
        self._ledger = ledger
        self._demand = demand
        self._lowering = lowering
        self._due = due
        self._ids = ids
        self._own_id = next(ids)
        self._usage_of = usage_of
        self._sent_by_id: dict[int, _SentAsk] = {}
        self._renewal_by_seq: dict[int, tuple[float, str]] = {}
        self._renew_at = -math.inf
        self._sweeping = False

    def want(
        self,
        now: float,
        topic: permit_demand.Topic,
        count: int,
        rank: float,
        waited_s: float,
    ) -> Effects:
        """State how many more permits waiting work could use."""
        wish = self._demand.wish_by_topic.get(topic)
        if wish is None:
            if not count:
                return []
            wish = self._demand.wish_by_topic[topic] = permit_demand.Wish()
        ended = wish.count and not count
        wish.count = count
        wish.rank = rank
        wish.waited_s = waited_s
        wish.at = now
        if ended:
            # A wish that comes back within this time needs no messages.
            self._consider_at(now + limits.ASK_MIN_INTERVAL_S, topic, wish)
            return []
        return self._consider(now, topic, wish) if count else []

    def take(
        self, now: float, peer: str, message: permit_messages.Loan
    ) -> Effects:
        """Take a loan that answers an open ask; give back any other."""
        loan_id = message.loan_id
        known = loan_id in self._ledger.taken_by_id
        if known or not permit_demand.same_sender(
            message.ask_id, self._own_id
        ):
            # A loan that an earlier incarnation asked for may have been
            # in use, so only its home may take it back, after its time.
            return []
        sent = self._sent_by_id.get(message.ask_id)
        usable = sent is not None and self._usable(now, sent, loan_id)
        if sent is None or not usable or not self._lowering.valid(message):
            unused = permit_messages.Return(loan_id, message.count)
            return [effects.Send(peer, unused)]
        wish = self._demand.wish_by_topic[sent.topic]
        wish.unanswered = max(0, wish.unanswered - message.count)
        self._ledger.take(
            permit_ledger.TakenLoan(
                loan_id,
                peer,
                message.limit_key,
                message.count,
                message.count,
                sent.at + limits.LOAN_LIFETIME_S,
                message.max_run_ms / 1000.0,
            )
        )
        self._sweep_later(now)
        return [effects.PermitsGained(*sent.topic)]

    def extend(
        self, now: float, peer: str, message: permit_messages.RenewAck
    ) -> Effects:
        """Extend renewed loans, counted from when Renew was sent."""
        sent_at, home = self._renewal_by_seq.get(message.seq, (now, ""))
        if home != peer:
            return []
        for loan_id in message.loan_ids:
            loan = self._ledger.taken_by_id.get(loan_id)
            if loan and loan.home == peer and not loan.withdrawn:
                loan.deadline = max(
                    loan.deadline, sent_at + limits.LOAN_LIFETIME_S
                )
        return []

    def give_back(
        self, loan: permit_ledger.TakenLoan, count: int
    ) -> effects.Send:
        """Give idle permits of a loan back to their home."""
        self._ledger.give_back(loan, count)
        returned = loan.total - loan.count
        return effects.Send(
            loan.home, permit_messages.Return(loan.loan_id, returned)
        )

    def _usable(self, now: float, sent: _SentAsk, loan_id: int) -> bool:
        # A copy of a loan that was taken or declined before must be
        # declined, because its home may have the permits back.
        repeated = loan_id in sent.loan_ids
        sent.loan_ids.add(loan_id)
        return (
            not repeated
            and now < sent.at + limits.LOAN_LIFETIME_S
            and now < self._ledger.fresh_until
            and self._demand.wanted(sent.topic) > 0
        )

    def _consider_at(
        self, due: float, topic: permit_demand.Topic, wish: permit_demand.Wish
    ) -> None:
        if wish.timer_at is not None and wish.timer_at <= due:
            return
        wish.timer_at = due
        self._due.add(due, functools.partial(self._on_timer, topic=topic))

    def _on_timer(self, now: float, topic: permit_demand.Topic) -> Effects:
        wish = self._demand.wish_by_topic.get(topic)
        if wish is None or wish.timer_at is None or now < wish.timer_at:
            return []
        wish.timer_at = None
        if wish.count:
            return self._consider(now, topic, wish)
        del self._demand.wish_by_topic[topic]
        if (
            wish.asked_at is None
            or now >= wish.asked_at + limits.ASK_LIFETIME_S
        ):
            return []
        kind, name = topic
        return self._to_peers(
            permit_messages.Ask(next(self._ids), kind, name, 0, 0.0, 0)
        )

    def _consider(
        self, now: float, topic: permit_demand.Topic, wish: permit_demand.Wish
    ) -> Effects:
        sent: Effects = []
        missing = self._missing(now, topic, wish)
        if missing and wish.ask_due(missing) <= now:
            sent = self._ask(now, topic, wish, missing)
        due = (
            wish.ask_due(missing)
            if missing
            else now + limits.ASK_REPEAT_INTERVAL_S
        )
        self._consider_at(due, topic, wish)
        return sent

    def _missing(
        self, now: float, topic: permit_demand.Topic, wish: permit_demand.Wish
    ) -> int:
        """Return how many wanted permits aren't free here.

        Free slots of a pool aren't counted: work that waits for a slot
        has found none that it can use.
        """
        kind, name = topic
        if kind != "team":
            return wish.count
        key = permits.team_limit_key(name)
        return max(0, wish.count - self._ledger.free(now, key))

    def _ask(
        self,
        now: float,
        topic: permit_demand.Topic,
        wish: permit_demand.Wish,
        missing: int,
    ) -> Effects:
        wish.asked_at = now
        wish.asked_rank = wish.rank
        wish.unanswered = missing
        if now >= self._ledger.fresh_until:
            return []
        for ask_id, sent in list(self._sent_by_id.items()):
            if now < sent.at + limits.LOAN_LIFETIME_S:
                break
            del self._sent_by_id[ask_id]
        kind, name = topic
        waited_ms = int((wish.waited_s + now - wish.at) * 1000)
        ask = permit_messages.Ask(
            next(self._ids),
            kind,
            name,
            missing,
            wish.rank,
            max(0, waited_ms),
            self._usage_of(now, kind, name),
        )
        self._sent_by_id[ask.ask_id] = _SentAsk(now, topic)
        return self._to_peers(ask)

    def _to_peers(self, ask: permit_messages.Ask) -> Effects:
        return [effects.Send(peer, ask) for peer in self.peers]

    def _sweep_later(self, now: float) -> None:
        if not self._sweeping:
            self._sweeping = True
            self._due.add(now + limits.IDLE_PERMIT_KEPT_S, self._sweep)

    def _sweep(self, now: float) -> Effects:
        """Give back what nobody used since the last sweep, and renew."""
        sent: Effects = []
        for loan in list(self._ledger.taken_by_id.values()):
            lapsed = now >= loan.deadline
            count = loan.idle if lapsed else min(loan.least_idle, loan.idle)
            if count:
                sent.append(self.give_back(loan, count))
            loan.least_idle = loan.idle
        if now >= self._renew_at:
            self._renew_at = now + limits.LOAN_RENEW_INTERVAL_S
            sent += self._renew(now)
        self._sweeping = False
        if self._ledger.taken_by_id:
            self._sweep_later(now)
        return sent

    def _renew(self, now: float) -> Effects:
        for seq, (sent_at, _) in list(self._renewal_by_seq.items()):
            if now < sent_at + limits.LOAN_LIFETIME_S:
                break
            del self._renewal_by_seq[seq]
        ids_by_home: dict[str, list[int]] = {}
        for loan in self._ledger.taken_by_id.values():
            left_s = loan.deadline - now
            if (
                not loan.withdrawn
                and left_s
                < limits.LOAN_LIFETIME_S - limits.LOAN_RENEW_INTERVAL_S
            ):
                ids_by_home.setdefault(loan.home, []).append(loan.loan_id)
        sent: Effects = []
        for home, loan_ids in ids_by_home.items():
            seq = next(self._ids)
            self._renewal_by_seq[seq] = (now, home)
            renew = permit_messages.Renew(seq, tuple(loan_ids))
            sent.append(effects.Send(home, renew))
        return sent
