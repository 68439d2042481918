"""Entry point of `python -m capershelf`."""

from capershelf.cli import main

if __name__ == "__main__":
    main(prog_name="capershelf")
