/**
 * Structured logs: one JSON object a line on standard error, by winston.
 *
 * Standard output stays free for the results of commands.
 */
import winston from 'winston';

export type Logger = winston.Logger;

export interface LoggerOptions {
  /** Lowest level that is written: error, warn, info or debug. */
  level: string;
  /** Fields that stand in every line, such as the instance id. */
  fields?: Record<string, string>;
  /** Drops every line; for tests. */
  silent?: boolean;
}

/** Creates the logger of one process. */
export function createLogger(options: LoggerOptions): Logger {
  return winston.createLogger({
    level: options.level,
    silent: options.silent ?? false,
    defaultMeta: options.fields ?? {},
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    transports: [
      new winston.transports.Console({
        stderrLevels: ['error', 'warn', 'info', 'debug'],
      }),
    ],
  });
}
