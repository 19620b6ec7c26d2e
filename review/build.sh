#!/bin/sh
# Builds the stand-ins of the review's scripts. They need nothing but Python's standard library.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins
