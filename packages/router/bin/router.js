#!/usr/bin/env -S node --max-semi-space-size=2
import "../dist/main.js";
