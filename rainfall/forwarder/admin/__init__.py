"""The operators' address: metrics, attachment of endpoints, checks of configurations."""
