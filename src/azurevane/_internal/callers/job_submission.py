"""Stores a caller's job, or its refusal, so that either is true for good.

A write whose response was lost may take effect seconds later. A refusal is
therefore stored as a row of its own, and a submission is conditional on the
version of that row: once a job is refused, no earlier write of it can still
be carried out, and the caller is told so truthfully. The same write shows
whether the job is stored already, in which case it isn't refused, and
whether it was refused before, by whichever host.
"""

from collections.abc import Callable
import dataclasses
import logging

import msgspec

from azurevane._internal.callers import admission_control
from azurevane._internal.callers import job_store
from azurevane._internal.callers import request_refused
from azurevane._internal.events import catalogue
from azurevane._internal.events import scheduler_events as events
from azurevane._internal.models import job as job_models
from azurevane._internal.platform import store
from azurevane._internal.scheduler import records

logger = logging.getLogger(__name__)

# Versions of a refusal that are tried before the caller is told to repeat.
# More than one other host at a time rarely decides on the same job.
MAX_ROUNDS = 4
_RACE_RETRY_S = 1


class JobSubmission:
    """Stores submissions under admission control.

    Args:
        team_weight: returns the weight of a team, or 0.
    """

    def __init__(
        self,
        jobs: job_store.JobStore,
        control: admission_control.AdmissionControl,
        team_weight: Callable[[str], float],
    ) -> None:
        self._jobs = jobs
        self._control = control
        self._team_weight = team_weight

    def sign(self, job: job_models.Job) -> job_models.Job:
        """Return a job with the name of this host, as it is stored."""
        return dataclasses.replace(job, accepted_by=self._control.host_name)

    async def submit(self, job: job_models.Job) -> None:
        """Store a signed job, unless it is refused or stored already."""
        refused_key = job_store.row_key(job.id, records.REFUSED_SUFFIX)
        refusal: records.Refusal | None = None
        version = 0
        for _ in range(MAX_ROUNDS):
            decided = self._control.decide(
                job, refusal, self._team_weight(job.team)
            )
            if decided.decision.accepted:
                conflict = await self._store_job(job, refusal, version)
                if conflict is None:
                    self._control.record_accepted(
                        job, beyond_share=decided.beyond_share
                    )
                    self._log_admitted(job, decided, refusal)
            else:
                conflict = await self._store_refusal(
                    job, refusal, version, decided
                )
            if conflict is None or job_store.exists(
                conflict, job_store.row_key(job.id)
            ):
                return
            if job_store.exists(
                conflict, job_store.row_key(job.id, records.CANCEL_SUFFIX)
            ):
                raise request_refused.RequestRefused(
                    410, "job was cancelled before it was stored"
                )
            row = conflict.row_by_row_key.get(refused_key)
            version = 0 if row is None or row.value is None else row.version
            refusal = None if not version or row is None else _decode(row)
        raise request_refused.RequestRefused(
            503, "other hosts decide on this job", _RACE_RETRY_S
        )

    async def _store_job(
        self,
        job: job_models.Job,
        refusal: records.Refusal | None,
        version: int,
    ) -> store.Conflict | None:
        if refusal is not None:
            # Its position counts from the caller's first attempt.
            first_at = min(refusal.first_at, job.accepted_at)
            job = dataclasses.replace(job, accepted_at=first_at)
        refused_key = job_store.row_key(job.id, records.REFUSED_SUFFIX)
        return await self._jobs.write_rows(
            _expected(job.id, version),
            {job_store.row_key(job.id): records.encode_job(job)},
            [refused_key] if version else [],
        )

    async def _store_refusal(
        self,
        job: job_models.Job,
        refusal: records.Refusal | None,
        version: int,
        decided: admission_control.Admission,
    ) -> store.Conflict | None:
        """Store a refusal, and refuse the request if it is stored.

        Returns:
            The conflict, if the job is stored or was refused by others.
        """
        first_at = job.accepted_at if refusal is None else refusal.first_at
        new_refusal = records.Refusal(
            first_at,
            job.accepted_at,
            1 if refusal is None else refusal.count + 1,
            self._control.host_name,
        )
        refused_key = job_store.row_key(job.id, records.REFUSED_SUFFIX)
        value = records.encode_refusal(new_refusal)
        conflict = await self._jobs.write_rows(
            _expected(job.id, version), {refused_key: value}
        )
        if conflict is not None:
            row = conflict.row_by_row_key.get(refused_key)
            if row is None or row.value != value:
                return conflict
            # A repeated write; the response to the first one was lost.
        self._raise_refused(job, decided, new_refusal)
        return None

    def _raise_refused(
        self,
        job: job_models.Job,
        decided: admission_control.Admission,
        refusal: records.Refusal,
    ) -> None:
        plan = decided.plan
        assert plan is not None
        catalogue.emit(
            logger,
            events.JobRefused(
                job.id,
                job.queue,
                job.team,
                decided.decision.reason.value,
                round(decided.decision.room),
                round(decided.accepted_cpu),
                round(decided.part_cpu),
                decided.estimate_number,
                round(decided.estimate_age_s, 3),
                refusal.count,
                plan.retry_after_s,
                plan.reason.value,
            ),
        )
        raise request_refused.RequestRefused(
            429, decided.decision.reason.value, plan.retry_after_s
        )

    def _log_admitted(
        self,
        job: job_models.Job,
        decided: admission_control.Admission,
        refusal: records.Refusal | None,
    ) -> None:
        if not decided.estimate_number and refusal is None:
            # Nothing waited, so there was nothing to decide.
            return
        catalogue.emit(
            logger,
            events.JobAdmitted(
                job.id,
                job.queue,
                job.team,
                decided.decision.reason.value,
                round(decided.decision.room),
                round(decided.accepted_cpu),
                round(decided.part_cpu),
                decided.estimate_number,
                round(decided.estimate_age_s, 3),
                0 if refusal is None else refusal.count,
            ),
        )


def _expected(job_id: str, refusal_version: int) -> dict[store.RowKey, int]:
    return {
        job_store.row_key(job_id): 0,
        job_store.row_key(job_id, records.CANCEL_SUFFIX): 0,
        job_store.row_key(job_id, records.REFUSED_SUFFIX): refusal_version,
    }


def _decode(row: store.Row) -> records.Refusal | None:
    try:
        return records.decode_refusal(row.value or b"")
    except msgspec.MsgspecError as error:
        catalogue.emit(
            logger,
            events.RowUnreadable(
                row.row_key.table, row.row_key.key, str(error)
            ),
        )
        return None
