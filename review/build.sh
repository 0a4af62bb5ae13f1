#!/bin/sh
# Builds the stand-ins of the cases, after the deploy file's build. They need the standard library only.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || exit 2
exec .venv/bin/python -m compileall -q review
