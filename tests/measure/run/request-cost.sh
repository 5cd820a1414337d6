#!/usr/bin/env bash
# Requests a second for one core of entry and agent, and memory for each connection.
exec bash "$(dirname "$0")/../requests.sh" request-cost
