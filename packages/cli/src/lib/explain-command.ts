/**
 * `explain`: prints the log lines of one request from the logs of any number of
 * instances, in order of time, with what each instance had logged shortly before
 * about the servers involved.
 */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import type {Sade} from 'sade';
import {z} from 'zod';
import {CommandFailure, createAction, printResult} from './command-line.js';
import type {CommonOptions} from './command-line.js';
import {EXIT_CODES} from './exit-codes.js';

const logLineSchema = z.looseObject({
  timestamp: z.string(),
  instance: z.string().optional(),
  level: z.string(),
  message: z.string(),
});
export type LogLine = z.infer<typeof logLineSchema>;

export interface Explanation {
  requestId: string;
  /** Lines of the request, oldest first. */
  lines: LogLine[];
  /**
   * Lines of the same instances about servers that the request used or was turned
   * away from, from the 10 s before its last line, and all earlier lines about
   * requests of the same fingerprint.
   */
  context: LogLine[];
  /** Number of input lines that are not log lines. */
  unreadable: number;
}

const STANDARD_INPUT = '-';
// State changes of servers in this window influenced the choice of server.
const CONTEXT_BEFORE_MS = 10_000;

export function addExplainCommand(program: Sade): void {
  program
    .command('explain <requestId> [log]')
    .describe(
      'Print all log lines of one request; more log files may follow, standard input is read if there are none.',
    )
    .example('explain 9c41d07be2a35f68 instance-1.log instance-2.log')
    .action(
      createAction(
        async (
          requestId: string,
          log: string | undefined,
          options: CommonOptions & {_?: string[]},
        ) => {
          const files = [log ?? STANDARD_INPUT, ...(options._ ?? [])];
          const explanation = await explain(requestId, files);
          if (explanation.lines.length === 0) {
            const found = `no log line of request ${requestId}`;
            const message = `${found} (${explanation.unreadable} lines unreadable)`;
            throw new CommandFailure(message, EXIT_CODES.failed, explanation);
          }
          printResult(options, explanation, formatExplanation(explanation));
        },
      ),
    );
}

export async function explain(
  requestId: string,
  files: readonly string[],
): Promise<Explanation> {
  const lines: LogLine[] = [];
  const serverLines: LogLine[] = [];
  let unreadable = 0;
  for (const file of files) {
    for await (const text of createInterface({input: openInput(file)})) {
      if (text.trim() === '') continue;
      const line = parseLine(text);
      if (!line) unreadable += 1;
      else if (line['requestId'] === requestId) lines.push(line);
      else if (isAboutServerOrSuspect(line)) serverLines.push(line);
    }
  }
  lines.sort(compareByTime);
  const context = findContext(lines, serverLines).sort(compareByTime);
  return {requestId, lines, context, unreadable};
}

function openInput(file: string): Readable {
  if (file === STANDARD_INPUT) return process.stdin;
  const stream = createReadStream(file);
  stream.on('error', () => {
    console.error(`${file}: cannot be read`);
    process.exit(EXIT_CODES.invalid);
  });
  return stream;
}

/** Parses a log line; a log collector may have put a prefix before the JSON. */
function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const parsed = logLineSchema.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // The caller counts the line as unreadable.
    return undefined;
  }
}

function findContext(lines: LogLine[], candidates: LogLine[]): LogLine[] {
  const servers = new Set(
    lines.flatMap(line => [
      line['server'],
      ...toArray(line['tried']),
      ...toArray(line['turnedAway']),
    ]),
  );
  const instances = new Set(lines.map(line => line.instance));
  const fingerprints = new Set(
    lines
      .map(line => line['fingerprint'])
      .filter(value => typeof value === 'string'),
  );
  const lastMs = Math.max(...lines.map(parseTimestampMs));
  return candidates.filter(line => {
    const ageMs = lastMs - parseTimestampMs(line);
    if (ageMs < 0 || !instances.has(line.instance)) return false;
    if (fingerprints.has(String(line['fingerprint']))) return true;
    return ageMs <= CONTEXT_BEFORE_MS && servers.has(line['server']);
  });
}

/** Whether the line may belong to the context of a request. */
function isAboutServerOrSuspect(line: LogLine): boolean {
  if (line['requestId'] !== undefined) return false;
  return [line['server'], line['fingerprint']].some(
    value => typeof value === 'string',
  );
}

function toArray(value: unknown): unknown[] {
  return Array.isArray(value) ? value : [];
}

function parseTimestampMs(line: LogLine): number {
  return Date.parse(line.timestamp);
}

function compareByTime(left: LogLine, right: LogLine): number {
  return parseTimestampMs(left) - parseTimestampMs(right);
}

function formatExplanation(explanation: Explanation): string[] {
  const text = explanation.lines.map(formatLine);
  if (explanation.context.length === 0) return text;
  return [
    ...text,
    '',
    'logged before about these servers:',
    ...explanation.context.map(formatLine),
  ];
}

function formatLine(line: LogLine): string {
  const {timestamp, instance, message, ...fields} = line;
  const shown = Object.entries(fields).filter(
    ([name]) => name !== 'level' && name !== 'requestId',
  );
  const details = shown.map(
    ([name, value]) => `${name}=${JSON.stringify(value)}`,
  );
  return [timestamp, instance ?? '?', message, ...details].join('  ');
}
