"""Tests of budgets."""
