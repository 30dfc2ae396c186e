#!/bin/sh
# Runs the stand-in $1 for the case in the folder $2; called by run.sh of the cases.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
root=$(cd "$2/../.." && pwd)
export NODE="$root/target/deploy/kumquatkeel-node"
driver="$root/target/review-3/$1"
if [ ! -x "$NODE" ] || [ ! -x "$driver" ]; then
    echo "build the deploy file's program and run review/build-3.sh first" >&2
    exit 2
fi
FOLDER=$(mktemp -d) || exit 2
export FOLDER
export RECORD="$2/record.txt"
end_all() {
    # Ends the processes that the stand-in has started, if any is left.
    for pid in $(cat "$FOLDER/pids" 2>/dev/null); do
        if grep -q kumquatkeel-node "/proc/$pid/cmdline" 2>/dev/null; then
            kill -9 "$pid" 2>/dev/null
        fi
    done
    rm -rf "$FOLDER"
}
trap end_all EXIT
trap 'exit 2' INT TERM
timeout 115 "$driver"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
