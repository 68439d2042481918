"""Call handling: requests, attempts, outcomes, and the planner thread.  Free of sockets and wire formats."""
