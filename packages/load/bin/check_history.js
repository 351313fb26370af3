#!/usr/bin/env node
import "../dist/history/main.js";
