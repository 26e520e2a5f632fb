"""The operators' address: figures, maintenance of endpoints, checks of configurations."""
