#!/usr/bin/env node
import {main} from '../dist/index.js';

await main(process.argv);
