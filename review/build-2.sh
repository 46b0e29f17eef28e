#!/bin/sh
# Compiles what the scripts review/N/run.sh (N = 6 to 8) start, beside the programs of the deploy file. Needs only a JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/Lab2.java review/[6-8]/*.java
