"""The handover of a journal to a new process of the program."""
