#!/usr/bin/env node
import "../dist/measure/main.js";
