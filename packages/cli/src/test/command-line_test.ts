/**
 * Guards against stack traces and wrong or undocumented exit codes. Runs the
 * command line against a real instance over HTTP.
 */
import {LocalFleet} from '@fireflytrack/stand-ins';
import {expect} from 'earl';
import fc from 'fast-check';
import {execFile} from 'node:child_process';
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {parseConfigurationText} from '@fireflytrack/configuration';
import {EXIT_CODES} from '../lib/exit-codes.js';

const root = fileURLToPath(new URL('../../../../', import.meta.url));
const binary = join(root, 'packages/cli/bin/fireflytrack.js');
const example = join(root, 'examples/tunisia.ini');
const TOKEN = 'administration-token-of-the-demo';

interface CommandResult {
  code: number;
  stdout: string;
  stderr: string;
}

let folder = '';
let fleet: LocalFleet;
let url = '';

before(async () => {
  folder = mkdtempSync(join(tmpdir(), 'fireflytrack-cli-'));
  const zone = {availabilityZone: 'nord-1', region: 'nord'};
  fleet = await LocalFleet.create({zones: [zone], storeRegion: 'nord'});
  url = fleet.instances[0]!.adminUrl;
  for (let attempt = 0; attempt < 50; attempt += 1) {
    if ((await runCommand('status')).code === 0) return;
  }
});

after(async () => {
  await fleet.stop();
  rmSync(folder, {recursive: true});
});

function runCommand(...args: string[]): Promise<CommandResult> {
  const env = {
    ...process.env,
    FIREFLYTRACK_URL: url,
    FIREFLYTRACK_TOKEN: TOKEN,
  };
  return new Promise(resolve => {
    execFile(process.execPath, [binary, ...args], {env}, (error, out, err) => {
      const code = error ? Number(error.code) : 0;
      resolve({code, stdout: out.trim(), stderr: err.trim()});
    });
  });
}

async function setOutage(unavailable: boolean): Promise<void> {
  const body = JSON.stringify({unavailable});
  await fetch(`${fleet.platformUrl}/control`, {method: 'POST', body});
}

function writeTestFile(name: string, content: string | Buffer): string {
  const file = join(folder, name);
  writeFileSync(file, content);
  return file;
}

describe('fireflytrack check', () => {
  it('reports any invalid file in one line without a stack trace', async () => {
    mkdirSync(join(folder, 'directory'));
    const files = [
      join(folder, 'directory'),
      join(folder, 'missing'),
      writeTestFile('empty', ''),
      writeTestFile('binary', Buffer.from([0xff, 0xfe, 0, 1, 10, 0x80])),
      writeTestFile('control', '[fleet]\nname = \u001b[31m\u0007\n'),
      writeTestFile('long', 'a'.repeat(2_000_000)),
      writeTestFile('huge', Buffer.alloc(13 * 1024 * 1024, 10)),
    ];
    for (const file of files) {
      const {code, stderr} = await runCommand('check', file);
      expect(code).toEqual(EXIT_CODES.invalid);
      expect(stderr.split('\n').length).toEqual(1);
      expect(stderr.startsWith(`${file}: section [`)).toEqual(true);
      expect(stderr.length < 600 + file.length).toEqual(true);
    }
  });

  it('does not throw for arbitrary texts', () => {
    const valid = readFileSync(example, 'utf8');
    const mutated = fc
      .tuple(fc.nat(valid.length), fc.nat(40), fc.string({unit: 'binary'}))
      .map(
        ([start, length, inserted]) =>
          valid.slice(0, start) + inserted + valid.slice(start + length),
      );
    fc.assert(
      fc.property(fc.oneof(fc.string({unit: 'binary'}), mutated), text => {
        const parsed = parseConfigurationText(text, 'file');
        return parsed.ok || parsed.val.expected !== '';
      }),
      {seed: 20261204, numRuns: 500},
    );
  });

  it('accepts the examples', async () => {
    expect((await runCommand('check', example)).code).toEqual(EXIT_CODES.done);
  });
});

describe('fireflytrack against an instance', () => {
  it('applies, shows, compares and lists versions', async () => {
    const applied = await runCommand(
      'apply',
      example,
      '--base',
      '0',
      '--wait',
      '10',
    );
    expect(applied.code).toEqual(EXIT_CODES.done);
    expect(applied.stdout.endsWith('in force')).toEqual(true);
    expect((await runCommand('diff', example)).code).toEqual(EXIT_CODES.done);
    const text = readFileSync(example, 'utf8').replace('= 44', '= 45');
    const changed = writeTestFile('changed.ini', text);
    const diff = await runCommand('diff', changed);
    expect(diff.code).toEqual(EXIT_CODES.differs);
    expect(diff.stdout.includes('+max_instances = 45')).toEqual(true);
    const conflict = await runCommand(
      'apply',
      changed,
      '--base',
      '0',
      '--json',
    );
    expect(conflict.code).toEqual(EXIT_CODES.conflict);
    expect(JSON.parse(conflict.stdout).currentVersion).toEqual(1);
    expect(
      (await runCommand('apply', changed, '--change-id', '7')).code,
    ).toEqual(0);
    const history = JSON.parse((await runCommand('history', '--json')).stdout);
    expect(history.versions[0].changeId).toEqual('7');
    const first = await runCommand('show', '--config-version', '1');
    expect(first.stdout).toEqual(readFileSync(example, 'utf8').trim());
  });

  it('issues, lists and withdraws keys', async () => {
    const issued = await runCommand('keys', 'issue', 'airport');
    const keyId = issued.stdout.split('_')[1]!;
    const unknown = await runCommand('keys', 'issue', 'nobody');
    expect(unknown.code).toEqual(EXIT_CODES.invalid);
    const withdrawn = await runCommand(
      'keys',
      'withdraw',
      keyId,
      '--wait',
      '5',
    );
    expect(withdrawn.code).toEqual(EXIT_CODES.done);
    const {stdout} = await runCommand('keys', 'list');
    expect(stdout).toEqual(`${keyId}\tairport\twithdrawn`);
  });

  it('accepts a withdrawal while the store is down and stores it', async () => {
    const keyId = (await runCommand('keys', 'issue', 'airport')).stdout.split(
      '_',
    )[1]!;
    await setOutage(true);
    const during = await runCommand('keys', 'withdraw', keyId);
    expect(during.code).toEqual(EXIT_CODES.done);
    expect(during.stdout.includes('not yet stored')).toEqual(true);
    const failed = await runCommand('apply', example, '--base', '2');
    expect(failed.code).toEqual(EXIT_CODES.unavailable);
    await setOutage(false);
    const later = await runCommand(
      'keys',
      'withdraw',
      keyId,
      '--wait',
      '5',
      '--json',
    );
    expect(JSON.parse(later.stdout).stored).toEqual(true);
  });

  it('dumps an instance by its id and distinguishes failures', async () => {
    const {instanceId} = fleet.instances[0]!;
    const dump = JSON.parse((await runCommand('dump', instanceId)).stdout);
    expect(dump.configuration.ready).toEqual(true);
    expect((await runCommand('dump', 'nobody')).code).toEqual(
      EXIT_CODES.failed,
    );
    const wrong = await runCommand('status', '--token', '1234567890123456');
    expect(wrong.stderr).toEqual('administration token required');
    const nowhere = await runCommand('status', '--url', 'http://127.0.0.1:1');
    expect(nowhere.code).toEqual(EXIT_CODES.unavailable);
  });

  it('rejects an invalid body with a clear error', async () => {
    for (const body of ['{', '[]', '', '{"text": 1}', '"x"']) {
      const response = await fetch(`${url}/v1/config`, {
        method: 'PUT',
        body,
        headers: {
          authorization: `Bearer ${TOKEN}`,
          'content-type': 'application/json',
        },
      });
      const {kind, error} = (await response.json()) as Record<string, string>;
      expect(response.status).toEqual(400);
      expect(kind).toEqual('bad-request');
      expect(error!.length > 5).toEqual(true);
    }
  });

  it('documents every exit code', () => {
    const page = readFileSync(join(root, 'docs/configuration.md'), 'utf8');
    for (const code of Object.values(EXIT_CODES)) {
      expect(page.includes(`\n| ${code} | `)).toEqual(true);
    }
  });
});
