#!/usr/bin/env node
import {runSoak} from '../dist/index.js';

await runSoak(process.argv);
