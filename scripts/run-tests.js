// Runs all compiled test files except those listed in KNOWN-RED.txt.
// A line of KNOWN-RED.txt that starts with "test:" names a compiled test file
// relative to the repository root; the file is printed and skipped.
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {join, sep} from 'node:path';

function testFiles() {
  const files = [];
  const folders = readdirSync('packages')
    .sort()
    .map(name => join('packages', name));
  for (const folder of [...folders, 'platform']) {
    const directory = join(folder, 'dist', 'test');
    if (!existsSync(directory)) continue;
    for (const entry of readdirSync(directory, {recursive: true}).sort()) {
      if (entry.endsWith('_test.js')) files.push(join(directory, entry));
    }
  }
  return files;
}

function readKnownFailures() {
  if (!existsSync('KNOWN-RED.txt')) return new Set();
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return new Set(
    lines
      .filter(line => line.startsWith('test:'))
      .map(line => line.slice('test:'.length).trim().split('/').join(sep)),
  );
}

const knownFailures = readKnownFailures();
for (const file of knownFailures)
  console.log(`known failure, skipped: ${file}`);
// Makes a hanging test fail instead of blocking CI.
const TEST_TIMEOUT_MS = 900_000;
const args = [
  '--test',
  '--test-concurrency=4',
  `--test-timeout=${TEST_TIMEOUT_MS}`,
  '--test-reporter=spec',
];
const files = testFiles().filter(file => !knownFailures.has(file));
const run = spawnSync(process.execPath, [...args, ...files], {
  stdio: 'inherit',
  env: {...process.env, FIREFLYTRACK_SEED: process.env.FIREFLYTRACK_SEED ?? '20261204'},
});
process.exit(run.status ?? 1);
