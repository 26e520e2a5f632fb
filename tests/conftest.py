"""What holds for every run of these tests."""

pytest_plugins = ("tests.known_red",)
