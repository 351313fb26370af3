#!/usr/bin/env node
import "../dist/overhead/main.js";
