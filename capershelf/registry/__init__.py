"""Where the list of booking servers comes from."""
