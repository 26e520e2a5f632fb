"""The journal: its format, what it means, its recovery, and a tool to look into it."""
