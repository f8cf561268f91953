"""Pure decisions: values in, a decision with its reasons out."""
