"""What several tests share: peers on loopback, simulated worlds, plugins."""
