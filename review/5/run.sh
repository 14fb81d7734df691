#!/bin/bash
# The store answers some writes never and performs them late; clients without an answer cancel.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
REVIEW_ROOT=$(cd ../.. && pwd) || exit 2
export REVIEW_ROOT
[ -x "$REVIEW_ROOT/target/review-standin" ] || exit 2
exec "$REVIEW_ROOT/target/review-standin" late-acceptance .
