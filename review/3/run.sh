#!/usr/bin/env bash
source "$(dirname "$0")/../play.sh"
play cut
