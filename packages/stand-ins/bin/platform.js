#!/usr/bin/env node
import {runPlatform} from '../dist/index.js';

await runPlatform(process.argv);
