"""Small modules with one job each."""
