/** Guards against logging that blocks the process or grows without bound. */
import {expect} from 'earl';
import {Writable} from 'node:stream';
import {spawn} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';
import {RateLimitedLog} from '../lib/rate-limited-log.js';
import {NonBlockingOutput} from '../lib/non-blocking-output.js';
import {createLogger} from '../lib/logger.js';

const loggerModule = fileURLToPath(
  new URL('../lib/logger.js', import.meta.url),
);

describe('NonBlockingOutput', () => {
  it('drops lines while the reader is slow and logs their count', () => {
    const pendingCallbacks: (() => void)[] = [];
    const written: string[] = [];
    const target = new Writable({
      highWaterMark: 1,
      write(line, _encoding, callback) {
        written.push(String(line));
        pendingCallbacks.push(callback);
      },
    });
    const output = NonBlockingOutput.create({target, maxBufferedBytes: 100});
    for (let line = 0; line < 100; line += 1) output.write('0123456789\n');
    expect(target.writableLength < 200).toEqual(true);
    while (pendingCallbacks.length > 0) pendingCallbacks.shift()!();
    output.write('after\n');
    while (pendingCallbacks.length > 0) pendingCallbacks.shift()!();
    const droppedLine = written.find(line => line.includes('dropped'));
    expect(JSON.parse(droppedLine!).lines > 50).toEqual(true);
  });

  it('does not block the process when standard output is not read', async () => {
    const program = `
      import {createLogger} from ${JSON.stringify(loggerModule)};
      const logger = createLogger({level: 'info', stream: 'stdout'});
      for (let n = 0; n < 20000; n += 1) logger.info('x'.repeat(200));
      setTimeout(() => { console.error('alive'); process.exit(0); }, 100);
    `;
    const args = ['--input-type=module', '-e', program];
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const alive = await new Promise<string>(resolve => {
      child.stderr.once('data', chunk => resolve(String(chunk)));
      child.once('exit', () => resolve('ended'));
    });
    child.kill('SIGKILL');
    expect(alive.trim()).toEqual('alive');
  });
});

describe('rate-limited log', () => {
  it('limits the lines of each kind and logs how many were omitted', () => {
    const lines: unknown[][] = [];
    const logger = createLogger({level: 'info', silent: true});
    const record = (...line: unknown[]) => {
      lines.push(line);
      return logger;
    };
    logger.log = record as typeof logger.log;
    logger.info = record as unknown as typeof logger.info;
    const log = RateLimitedLog.create({logger, linesPerSecond: 5});
    for (let line = 0; line < 1000; line += 1) log.write('info', 'a', {line});
    log.write('info', 'b', {});
    expect(lines.length).toEqual(6);
    log.flush();
    expect(lines.at(-1)).toEqual([
      'log lines left out',
      {kind: 'a', leftOut: 995},
    ]);
  });
});
