#!/usr/bin/env node
import {runBackend} from '../dist/index.js';

await runBackend(process.argv);
