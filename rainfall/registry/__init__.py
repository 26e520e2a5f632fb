"""The list service: endpoint list, fleet membership, leases, budgets and shard maps."""
