#!/bin/sh
# Builds the stand-ins of the second review: compiles them, and the project's modules that the cases start.
cd "$(dirname "$0")/.." && .venv/bin/python -m compileall -q review/second review/6 review/7 review/8 review/9 review/10 marlstep
