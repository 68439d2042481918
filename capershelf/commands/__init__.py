"""Operators' commands other than `serve`, one module per group; each is imported only on use."""
