"""What holds for every run of these tests."""

pytest_plugins = ("tests.support.known_red",)
