"""The version number: recorded in files that the program writes and printed by `capershelf version`."""

VERSION = "0.2.0"
