"""Pure decision functions; they do no I/O and read no clock."""
