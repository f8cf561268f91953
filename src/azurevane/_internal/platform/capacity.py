"""Wire format of capacities on the platform."""

import msgspec

from azurevane._internal.models import job as job_models


class WireCapacity(msgspec.Struct):
    """Processors in thousandths of a core, memory in MB, accelerators."""

    cpu: int = 0
    memory: int = msgspec.field(name="memMb", default=0)
    gpu: int = 0

    def decode(self) -> job_models.Capacity:
        """Return the capacity as the internal type."""
        return job_models.Capacity(self.cpu, self.memory, self.gpu)
