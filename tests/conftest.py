"""Pytest configuration of all tests."""

pytest_plugins = ("tests.support.known_red",)
