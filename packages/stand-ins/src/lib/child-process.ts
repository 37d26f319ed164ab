/** A Node.js child process of the demo or of a test. */
import {spawn} from 'node:child_process';
import type {ChildProcess as NodeChild} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

export class ChildProcess {
  /** Lines of standard error so far, for failure reports. */
  readonly stderrLines: string[] = [];

  private constructor(private readonly child: NodeChild) {
    child.stderr?.setEncoding('utf8');
    child.stderr?.on('data', (text: string) => {
      this.stderrLines.push(...text.split('\n').filter(line => line !== ''));
    });
  }

  /** Runs `node script ...args`; `environment` extends this process's own. */
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

  /** Waits for the first line of standard output and parses it as JSON. */
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

  /** Resolves with the exit code, or null if a signal ended the process. */
  async waitForExit(): Promise<number | null> {
    if (this.child.exitCode !== null) return this.child.exitCode;
    if (this.child.signalCode !== null) return null;
    const [code] = (await once(this.child, 'exit')) as [number | null];
    return code;
  }

  /** Sends SIGTERM and waits for the process to exit; returns its exit code. */
  async stop(): Promise<number | null> {
    this.signal('SIGTERM');
    return this.waitForExit();
  }
}
