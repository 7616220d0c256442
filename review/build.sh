#!/bin/bash
# Builds the stand-ins and the programs of the cases with the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf .build
mkdir .build
javac -d .build harness/*.java [1-5]/*.java
