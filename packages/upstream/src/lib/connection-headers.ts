/** Hop-by-hop headers, which apply to one connection and are never forwarded. */

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
 * Copies raw headers (names and values in turn) without the hop-by-hop headers,
 * those named by `Connection`, and those in `dropped` (in lower case).
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
