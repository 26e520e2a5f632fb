"""Tests that compare what the program stores and sends with recorded reference data."""
