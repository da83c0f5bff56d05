"""`python -m wheatstile`: with no argument the platform's balancer, else the command line."""

import sys

if __name__ == "__main__":
    if sys.argv[1:]:
        from wheatstile.cli import main
    else:
        from wheatstile.process.main import main
    sys.exit(main())
