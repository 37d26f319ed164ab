/** What all commands share: options, output and how a failure ends. */
import {AdminClient} from './admin-client.js';
import type {AdminFailure} from './admin-client.js';
import {EXIT_CODES} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';

export interface CommonOptions {
  url: string;
  /** The environment's FIREFLYTRACK_TOKEN if absent. */
  token?: string;
  json?: boolean;
}

/** Ends a command with one line on standard error. */
export class CommandFailure extends Error {
  constructor(
    message: string,
    readonly exitCode: ExitCode,
    readonly body: unknown = undefined,
  ) {
    super(message);
  }
}

export function clientOf(options: CommonOptions): AdminClient {
  const url = options.url.replace(/\/+$/, '');
  if (!/^https?:\/\/./.test(url)) {
    const message = `--url: expected http://HOST:PORT, found "${options.url}"`;
    throw new CommandFailure(message, EXIT_CODES.failed);
  }
  // Not an option's default, because `--help` prints defaults.
  const token = options.token ?? process.env['FIREFLYTRACK_TOKEN'] ?? '';
  return AdminClient.create({url, token});
}

/** The failure of a call as the failure of the command. */
export function failureOf(failure: AdminFailure): CommandFailure {
  const kind = failure.body['kind'];
  let code: ExitCode = EXIT_CODES.failed;
  if (kind === 'conflict') code = EXIT_CODES.conflict;
  else if (kind === 'invalid') code = EXIT_CODES.invalid;
  else if (kind === 'outcome-unknown') code = EXIT_CODES.unknown;
  else if (kind === 'store-unavailable') code = EXIT_CODES.unavailable;
  else if (failure.status === 0) code = EXIT_CODES.unavailable;
  const body = failure.status === 0 ? {error: failure.message} : failure.body;
  return new CommandFailure(failure.message, code, body);
}

export function print(
  options: CommonOptions,
  body: unknown,
  lines: readonly string[],
): void {
  if (options.json) console.log(JSON.stringify(body));
  else if (lines.length > 0) console.log(lines.join('\n'));
}

/** A handler of sade whose failure is one line and an exit code. */
export function command<A extends unknown[]>(
  handler: (...parameters: A) => Promise<ExitCode | void> | ExitCode | void,
): (...parameters: A) => Promise<void> {
  return async (...parameters) => {
    try {
      process.exitCode = (await handler(...parameters)) ?? EXIT_CODES.done;
    } catch (error) {
      const options = parameters.at(-1) as CommonOptions;
      reportFailure(error, options.json === true);
    }
  };
}

function reportFailure(error: unknown, json: boolean): void {
  const known = error instanceof CommandFailure;
  process.exitCode = known ? error.exitCode : EXIT_CODES.failed;
  const message = error instanceof Error ? error.message : String(error);
  if (json && known && error.body !== undefined) {
    console.log(JSON.stringify(error.body));
  } else if (json) {
    console.log(JSON.stringify({error: message}));
  } else {
    console.error(message.replace(/\s*\n\s*/g, ' '));
  }
}

/** An option that must be a number from `least` on. */
export function numberOption(
  name: string,
  value: string | undefined,
  least: number,
): number | undefined {
  if (value === undefined) return undefined;
  const number = Number(value);
  if (value.trim() !== '' && Number.isFinite(number) && number >= least) {
    return number;
  }
  const message = `--${name}: expected a number from ${least}, found "${value}"`;
  throw new CommandFailure(message, EXIT_CODES.failed);
}
