// Runs every compiled test file, except those that KNOWN-RED.txt lists.
// Lines of KNOWN-RED.txt that start with "test:" name a compiled test file
// relative to the repository root; each is printed and passed over.
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

function knownRed() {
  if (!existsSync('KNOWN-RED.txt')) return new Set();
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return new Set(
    lines
      .filter(line => line.startsWith('test:'))
      .map(line => line.slice('test:'.length).trim().split('/').join(sep)),
  );
}

const red = knownRed();
for (const file of red) console.log(`known red, passed over: ${file}`);
// A test that hangs must fail, not hold up CI.
const TEST_TIMEOUT_MS = 900_000;
const args = [
  '--test',
  '--test-concurrency=4',
  `--test-timeout=${TEST_TIMEOUT_MS}`,
  '--test-reporter=spec',
];
const files = testFiles().filter(file => !red.has(file));
const run = spawnSync(process.execPath, [...args, ...files], {
  stdio: 'inherit',
  env: {...process.env, FIREFLYTRACK_SEED: process.env.FIREFLYTRACK_SEED ?? '20261204'},
});
process.exit(run.status ?? 1);
