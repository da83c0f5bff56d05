"""Entry point of `python -m wheatstile`: runs the balancer without arguments, else the command line."""

import sys

if __name__ == "__main__":
    if sys.argv[1:]:
        from wheatstile.cli import main
    else:
        from wheatstile.process.main import main
    sys.exit(main())
