# Sourced by the run.sh of each case: finds the interpreter and the libraries of the build.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
if [ -d target/deps ]; then
    python=python3
    libraries=target/deps
elif [ -x .venv/bin/python ]; then
    python=.venv/bin/python
    libraries=
else
    echo "neither target/deps nor .venv: build first" >&2
    exit 2
fi
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH="$root/src:$root:$root/review/common${libraries:+:$root/$libraries}" exec "$python" "$here/case.py"
