"""The journal: file format, record codec, state, recovery, writer and a command."""
