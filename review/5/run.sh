#!/bin/bash
. "$(dirname "$0")/../common/run-case.sh" 5
