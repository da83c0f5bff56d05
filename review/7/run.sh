#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$here/../..
PYTHONPATH=$here/..:$root exec "$root/.run/bin/python" "$here/case.py"
