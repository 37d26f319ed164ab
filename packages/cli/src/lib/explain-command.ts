/**
 * `explain`: prints what the logs of any number of instances say of one
 * request, in order of time, with what each instance believed when it decided.
 */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import type {Sade} from 'sade';
import {z} from 'zod';
import {CommandFailure, command, print} from './command-line.js';
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
  /** Lines that name a server which the request met, around the same time. */
  context: LogLine[];
  /** Lines of the input that are no log lines. */
  unreadable: number;
}

const STANDARD_INPUT = '-';
// What an instance learned of a server this long before the request decided
// where it went.
const CONTEXT_BEFORE_MS = 10_000;

export function addExplainCommand(program: Sade): void {
  program
    .command('explain <requestId> [log]')
    .describe(
      'Print the way of one request from log files (further files may follow; standard input without one).',
    )
    .example('explain 9c41d07be2a35f68 instance-1.log instance-2.log')
    .action(
      command(
        async (
          requestId: string,
          log: string | undefined,
          options: CommonOptions & {_?: string[]},
        ) => {
          const files = [log ?? STANDARD_INPUT, ...(options._ ?? [])];
          const explanation = await explain(requestId, files);
          if (explanation.lines.length === 0) {
            const found = `no line of request ${requestId}`;
            const message = `${found} (${explanation.unreadable} lines unreadable)`;
            throw new CommandFailure(message, EXIT_CODES.failed, explanation);
          }
          print(options, explanation, describeLines(explanation));
        },
      ),
    );
}

export async function explain(
  requestId: string,
  files: readonly string[],
): Promise<Explanation> {
  const lines: LogLine[] = [];
  const others: LogLine[] = [];
  let unreadable = 0;
  for (const file of files) {
    for await (const text of createInterface({input: open(file)})) {
      if (text.trim() === '') continue;
      const line = parseLine(text);
      if (!line) unreadable += 1;
      else if (line['requestId'] === requestId) lines.push(line);
      else if (typeof line['server'] === 'string') others.push(line);
    }
  }
  lines.sort(byTime);
  const context = contextOf(lines, others).sort(byTime);
  return {requestId, lines, context, unreadable};
}

function open(file: string): Readable {
  if (file === STANDARD_INPUT) return process.stdin;
  const stream = createReadStream(file);
  stream.on('error', () => {
    console.error(`${file}: cannot be read`);
    process.exit(EXIT_CODES.invalid);
  });
  return stream;
}

/** A log collector may put its own words before the JSON object. */
function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const parsed = logLineSchema.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // Counted by the caller as unreadable.
    return undefined;
  }
}

function contextOf(lines: LogLine[], others: LogLine[]): LogLine[] {
  const servers = new Set(
    lines.flatMap(line => [line['server'], ...arrayOf(line['tried'])]),
  );
  const instances = new Set(lines.map(line => line.instance));
  const last = Math.max(...lines.map(timeOf));
  return others.filter(line => {
    const ageMs = last - timeOf(line);
    const near = ageMs >= 0 && ageMs <= CONTEXT_BEFORE_MS;
    return near && servers.has(line['server']) && instances.has(line.instance);
  });
}

function arrayOf(value: unknown): unknown[] {
  return Array.isArray(value) ? value : [];
}

function timeOf(line: LogLine): number {
  return Date.parse(line.timestamp);
}

function byTime(one: LogLine, other: LogLine): number {
  return timeOf(one) - timeOf(other);
}

function describeLines(explanation: Explanation): string[] {
  const text = explanation.lines.map(describe);
  if (explanation.context.length === 0) return text;
  return [
    ...text,
    '',
    'the instance knew of the servers:',
    ...explanation.context.map(describe),
  ];
}

function describe(line: LogLine): string {
  const {timestamp, instance, message, ...fields} = line;
  const shown = Object.entries(fields).filter(
    ([name]) => name !== 'level' && name !== 'requestId',
  );
  const details = shown.map(
    ([name, value]) => `${name}=${JSON.stringify(value)}`,
  );
  return [timestamp, instance ?? '?', message, ...details].join('  ');
}
