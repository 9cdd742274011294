# Makes the virtual environment of a checkout; sourced by the other tools.
# FIGLANE_VENV names another folder for it.

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
venv="${FIGLANE_VENV:-.venv}"
if ! cmp -s requirements.lock "$venv/requirements.lock"; then
  echo "making the environment in $venv"
  python3.11 -m venv "$venv"
  "$venv/bin/pip" --quiet --disable-pip-version-check install \
    --requirement requirements.lock
  "$venv/bin/pip" --quiet --disable-pip-version-check install \
    --no-deps --no-build-isolation --editable .
  cp requirements.lock "$venv/requirements.lock"
fi
python="$venv/bin/python"
