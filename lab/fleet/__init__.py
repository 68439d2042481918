"""Runs several proxies against simulated peers, injects faults, and checks the recorded behaviour."""
