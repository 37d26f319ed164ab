/**
 * Structured logs: one JSON object a line, by winston.
 *
 * Programs that print results on standard output log on standard error.
 */
import winston from 'winston';
import {standardOutput} from './bounded-output.js';

export type Logger = winston.Logger;

export interface LoggerOptions {
  /** Lowest level that is written: error, warn, info or debug. */
  level: string;
  /** Fields that stand in every line, such as the instance id. */
  fields?: Record<string, string>;
  /** Where lines go; standard error if absent. */
  stream?: 'stdout' | 'stderr';
  /** Drops every line; for tests. */
  silent?: boolean;
}

/** Creates the logger of one process. */
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
