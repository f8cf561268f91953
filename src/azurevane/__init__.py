"""Fleet capacity and maintenance manager for small operators."""

__version__ = "0.1.0"
