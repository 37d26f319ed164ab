#!/usr/bin/env node
import {runSpeedProcess} from '../dist/index.js';

await runSpeedProcess(process.argv);
