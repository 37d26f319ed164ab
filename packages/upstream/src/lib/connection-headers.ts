/** Headers that concern one connection only and are never passed on. */

const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Copies raw headers without those of the connection, those that `connection`
 * names, and those in `dropped` (in lower case).
 */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const named = connectionOptions(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    const lower = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lower) || dropped.has(lower)) continue;
    if (named?.has(lower)) continue;
    kept.push(name, rawHeaders[index + 1]!);
  }
  return kept;
}

function connectionOptions(
  rawHeaders: readonly string[],
): Set<string> | undefined {
  let options: Set<string> | undefined;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() !== 'connection') continue;
    options ??= new Set();
    for (const option of rawHeaders[index + 1]!.split(',')) {
      options.add(option.trim().toLowerCase());
    }
  }
  return options;
}
