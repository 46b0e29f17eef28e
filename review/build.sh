#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
javac -Xlint:none -d review/target/classes review/standins/*.java
