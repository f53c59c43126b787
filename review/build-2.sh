#!/bin/sh
# Builds the stand-ins and checks of the cases 4 and up.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/review-rig ./review/rig
