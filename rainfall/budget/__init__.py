"""Fleet-wide budgets: a destination's whole divided among members so that no sliding
span ever exceeds it.
"""
