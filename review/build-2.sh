#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without a network. The limiter comes from `build` of the deploy file, which
# also fetches the crates that old-sink needs. The other stand-ins are Python programs: this checks that they can be read.
set -e
cd "$(dirname "$0")"
cargo build --release --locked --offline --manifest-path old-sink/Cargo.toml
exec python3 -B - parties.py [6-9]/case.py 10/case.py <<'PY'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PY
