#!/bin/sh
# Runs the case once. Build before: the build line of deploy/system.toml, then review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x target/sycamoreledge && test -x target/review/standin || exit 2
exec target/review/standin foreign . "$folder"
