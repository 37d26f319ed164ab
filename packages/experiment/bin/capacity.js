#!/usr/bin/env node
import {runCapacity} from '../dist/index.js';

await runCapacity(process.argv);
