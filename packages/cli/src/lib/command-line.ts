/** Options, output and error handling shared by all commands. */
import {AdminClient} from './admin-client.js';
import type {AdminFailure} from './admin-client.js';
import {EXIT_CODES} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';

export interface CommonOptions {
  url: string;
  /** Administration token; FIREFLYTRACK_TOKEN from the environment by default. */
  token?: string;
  json?: boolean;
}

/** An error that ends a command with one line of output and an exit code. */
export class CommandFailure extends Error {
  constructor(
    message: string,
    readonly exitCode: ExitCode,
    /** Printed instead of the message with `--json`. */
    readonly body: unknown = undefined,
  ) {
    super(message);
  }
}

export function createClient(options: CommonOptions): AdminClient {
  const url = options.url.replace(/\/+$/, '');
  if (!/^https?:\/\/./.test(url)) {
    const message = `--url: expected http://HOST:PORT, found "${options.url}"`;
    throw new CommandFailure(message, EXIT_CODES.failed);
  }
  // Not declared as the option's default, because `--help` prints defaults.
  const token = options.token ?? process.env['FIREFLYTRACK_TOKEN'] ?? '';
  return AdminClient.create({url, token});
}

/** Maps a failed call to a command failure with the matching exit code. */
export function toCommandFailure(failure: AdminFailure): CommandFailure {
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

/** Prints `body` as JSON with `--json`, otherwise `lines`. */
export function printResult(
  options: CommonOptions,
  body: unknown,
  lines: readonly string[],
): void {
  if (options.json) console.log(JSON.stringify(body));
  else if (lines.length > 0) console.log(lines.join('\n'));
}

/**
 * Wraps a command's handler as an action for sade: sets the exit code and
 * prints a failure as one line.
 */
export function createAction<A extends unknown[]>(
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

/**
 * Parses the value of a numeric option; throws CommandFailure if it is not a
 * number or less than `minimum`.
 */
export function parseNumberOption(
  name: string,
  value: string | undefined,
  minimum: number,
): number | undefined {
  if (value === undefined) return undefined;
  const number = Number(value);
  if (value.trim() !== '' && Number.isFinite(number) && number >= minimum) {
    return number;
  }
  const message = `--${name}: expected a number of at least ${minimum}, found "${value}"`;
  throw new CommandFailure(message, EXIT_CODES.failed);
}
