#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder: Python files, which are only compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins/*.py [0-9]/*.py
