"""State machines that own state and exchange messages, without I/O."""
