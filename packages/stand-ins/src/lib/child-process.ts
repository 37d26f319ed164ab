/** A process that the demo and the tests start, and stop by its id. */
import {spawn} from 'node:child_process';
import type {ChildProcess as NodeChild} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

export class ChildProcess {
  /** Standard error so far, for the report of a failure. */
  readonly stderrLines: string[] = [];

  private constructor(private readonly child: NodeChild) {
    child.stderr?.setEncoding('utf8');
    child.stderr?.on('data', (text: string) => {
      this.stderrLines.push(...text.split('\n').filter(line => line !== ''));
    });
  }

  /** Starts `node script ...args` with `environment` beside the own one. */
  static start(
    script: string,
    args: string[],
    environment: NodeJS.ProcessEnv = {},
  ): ChildProcess {
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, ...environment},
    });
    return new ChildProcess(child);
  }

  /** The first line of standard output, as JSON. */
  async readFirstLine<T>(): Promise<T> {
    const lines = createInterface({input: this.child.stdout!});
    const [line] = (await once(lines, 'line')) as [string];
    return JSON.parse(line) as T;
  }

  get pid(): number {
    return this.child.pid!;
  }

  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  async exited(): Promise<number | null> {
    if (this.child.exitCode !== null) return this.child.exitCode;
    if (this.child.signalCode !== null) return null;
    const [code] = (await once(this.child, 'exit')) as [number | null];
    return code;
  }

  /** Asks the process to stop and waits until it did. */
  async stop(): Promise<number | null> {
    this.signal('SIGTERM');
    return this.exited();
  }
}
