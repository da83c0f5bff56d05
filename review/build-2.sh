#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python programs that need
# only what that build installs; this compiles them and checks that they can be imported. It needs no network.
set -eu
cd "$(dirname "$0")/.."
for case in 6 7 8 9 10; do
    PYTHONPATH=review:. .run/bin/python -m py_compile review/bench_2.py "review/$case/case.py"
done
PYTHONPATH=review:. .run/bin/python -m py_compile review/7/record.py review/6/kill_at_snapshot.py
PYTHONPATH=review:. .run/bin/python -c "import bench_2, wheatstile.store.client, wheatstile.process.main"
