"""The operators' HTTP server: readiness, metrics, configuration, endpoints' rotation."""
