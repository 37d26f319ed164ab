/** Guards against logged failures that `explain` does not find. */
import {expect} from 'earl';
import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {EXIT_CODES} from '../lib/exit-codes.js';
import {explain} from '../lib/explain-command.js';

const binary = fileURLToPath(
  new URL('../../bin/fireflytrack.js', import.meta.url),
);

function logLine(
  second: number,
  instance: string,
  fields: Record<string, unknown>,
): string {
  const timestamp = `2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z`;
  return JSON.stringify({timestamp, instance, level: 'info', ...fields});
}

describe('explain', () => {
  let folder = '';
  let first = '';
  let second = '';

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'fireflytrack-explain-'));
    first = join(folder, 'first.log');
    second = join(folder, 'second.log');
    const first1 = [
      logLine(30, 'i1', {
        message: 'rejected deadline-passed',
        requestId: 'r1',
        tried: ['s1'],
      }),
      logLine(25, 'i1', {
        message: 'server avoided',
        server: 's1',
        reason: 'why',
      }),
      logLine(26, 'i1', {message: 'server avoided', server: 's2'}),
      logLine(2, 'i1', {
        message: 'server avoided',
        server: 's1',
        reason: 'old',
      }),
      'no log line',
    ];
    writeFileSync(first, first1.join('\n'));
    writeFileSync(
      second,
      [
        `  12.5 node ${logLine(10, 'i2', {message: 'rejected not-run', requestId: 'r1'})}`,
        logLine(25, 'i2', {message: 'server avoided', server: 's1'}),
        logLine(10, 'i2', {message: 'request answered', requestId: 'r2'}),
      ].join('\n'),
    );
  });
  after(() => rmSync(folder, {recursive: true}));

  it('orders the lines of one request across instances', async () => {
    const {lines} = await explain('r1', [first, second]);
    expect(lines.map(({message}) => message)).toEqual([
      'rejected not-run',
      'rejected deadline-passed',
    ]);
  });

  it('adds what the instance had logged about the servers it tried', async () => {
    const {context, unreadable} = await explain('r1', [first]);
    expect(context.map(entry => entry['reason'])).toEqual(['why']);
    expect(unreadable).toEqual(1);
  });

  // Guards against refusals of held requests that nobody can explain.
  it('adds what the instance had logged about requests like it', async () => {
    const file = join(folder, 'held.log');
    const fingerprint = 'f1';
    const lines = [
      logLine(1, 'i1', {message: 'request held back', fingerprint}),
      logLine(2, 'i1', {message: 'request held back', fingerprint: 'f2'}),
      logLine(30, 'i1', {
        message: 'rejected not-run',
        requestId: 'r1',
        fingerprint,
      }),
      logLine(31, 'i1', {
        message: 'rejected not-run',
        requestId: 'r3',
        fingerprint,
      }),
    ];
    writeFileSync(file, lines.join('\n'));
    const {context} = await explain('r1', [file]);
    expect(context.map(entry => entry['fingerprint'])).toEqual(['f1']);
  });

  function runExplain(
    ...parameters: string[]
  ): Promise<[number, string, string]> {
    return new Promise(resolve => {
      execFile(
        process.execPath,
        [binary, 'explain', ...parameters],
        (error, stdout, stderr) => {
          resolve([Number(error?.code ?? 0), stdout, stderr]);
        },
      );
    });
  }

  it('prints text or JSON and sets the exit code', async () => {
    const [code, text] = await runExplain('r1', first, second);
    expect(code).toEqual(EXIT_CODES.done);
    expect(text.includes('rejected not-run')).toEqual(true);
    const [, json] = await runExplain('r1', first, '--json');
    expect(JSON.parse(json).lines.length).toEqual(1);
    const [missing, , reason] = await runExplain('r9', first);
    expect(missing).toEqual(EXIT_CODES.failed);
    expect(reason.trim().split('\n').length).toEqual(1);
    const [unreadable, , why] = await runExplain(
      'r1',
      join(folder, 'none.log'),
    );
    expect(unreadable).toEqual(EXIT_CODES.invalid);
    expect(why.includes('cannot be read')).toEqual(true);
  });
});
