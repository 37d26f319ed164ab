/**
 * Structured logs, one JSON object per line, written with winston.
 *
 * Programs that print results to standard output log to standard error.
 */
import winston from 'winston';
import {standardOutput} from './non-blocking-output.js';

export type Logger = winston.Logger;

export interface LoggerOptions {
  /** Least severe level that is written: error, warn, info or debug. */
  level: string;
  /** Fields added to every line, such as the instance id. */
  fields?: Record<string, string>;
  /** Output stream; standard error by default. */
  stream?: 'stdout' | 'stderr';
  /** Drops every line; for tests. */
  silent?: boolean;
}

/** Creates the logger of a process. */
export function createLogger(options: LoggerOptions): Logger {
  const levels = ['error', 'warn', 'info', 'debug'];
  return winston.createLogger({
    level: options.level,
    silent: options.silent ?? false,
    defaultMeta: options.fields ?? {},
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    transports: [
      options.stream === 'stdout'
        ? new winston.transports.Stream({stream: standardOutput(), eol: '\n'})
        : new winston.transports.Console({stderrLevels: levels}),
    ],
  });
}
