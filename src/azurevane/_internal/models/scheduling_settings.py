"""Settings of the scheduler's optional decisions."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingSettings:
    """Which optional decisions are in use; all are off by default.

    Even when in use, each decision only takes effect where the site's
    configuration and jobs call for it.

    Attributes:
        admission: reject jobs that can't end in time to be of use.
        forecast: move hosts to a pool before its next busy period.
    """

    admission: bool = False
    forecast: bool = False
