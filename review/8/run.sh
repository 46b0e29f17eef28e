#!/bin/sh
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case cannot run. TROUBLE=0 leaves the kill out.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review-2 UnreadableElement
