"""Entry point of `python -m wheatstile`: runs the command line, or the balancer if there are no arguments."""

import sys

if __name__ == "__main__":
    if sys.argv[1:]:
        from wheatstile.cli import main
    else:
        from wheatstile.process.main import main
    sys.exit(main())
