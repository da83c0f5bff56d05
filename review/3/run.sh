#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .run/bin/python || exit 2
PYTHONPATH=.:review PYTHONDONTWRITEBYTECODE=1 exec .run/bin/python review/3/case.py
