#!/usr/bin/env bash
# Requests lost while entries, agents and endpoints are stopped in turn.
exec bash "$(dirname "$0")/../requests.sh" planned-stop-loss
