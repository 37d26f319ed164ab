/** Guards against callers that get no response because their body never ends. */
import {expect} from 'earl';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {describe, it} from 'node:test';
import {BodyMemory, STREAM_BYTES} from '../lib/body-memory.js';
import {readRequestBody} from '../lib/caller-body.js';
import type {BodyReadOptions} from '../lib/caller-body.js';

const MAX_BYTES = 1000;
const WAIT_MS = 30;

function fakeRequest(
  headers: Record<string, string>,
): PassThrough & IncomingMessage {
  return Object.assign(new PassThrough(), {headers}) as unknown as PassThrough &
    IncomingMessage;
}

function limits(
  maxBytes: number,
  deadlineAtMs: number,
  memory = BodyMemory.create(Infinity),
): BodyReadOptions {
  return {maxBytes, deadlineAtMs, reservation: memory.open()};
}

describe('caller body', () => {
  it('is abandoned when it is incomplete at the deadline', async () => {
    const request = fakeRequest({'content-length': '10'});
    request.write('half');
    const read = await readRequestBody(
      request,
      limits(MAX_BYTES, performance.now() + WAIT_MS),
    );
    expect(read).toEqual({kind: 'too-slow'});
  });

  it('is buffered completely when it arrives in time', async () => {
    const request = fakeRequest({'transfer-encoding': 'chunked'});
    request.write('one');
    setImmediate(() => request.end('two'));
    const read = await readRequestBody(
      request,
      limits(MAX_BYTES, performance.now() + 2000),
    );
    expect(read).toEqual({
      kind: 'read',
      body: {kind: 'buffered', bytes: Buffer.from('onetwo')},
    });
  });

  const STREAMED_BYTES = 3_000_000;

  async function readStream(maxBytes: number, send: () => PassThrough) {
    const read = await readRequestBody(
      send() as PassThrough & IncomingMessage,
      limits(maxBytes, performance.now() + 2000),
    );
    if (read.kind !== 'read' || read.body.kind !== 'stream') return read.kind;
    const pieces: Buffer[] = [];
    try {
      for await (const piece of read.body.stream) pieces.push(piece as Buffer);
      return Buffer.concat(pieces);
    } catch (error) {
      return (error as Error).message;
    }
  }

  function sendLarge(): PassThrough {
    const request = fakeRequest({'transfer-encoding': 'chunked'});
    const bytes = Buffer.alloc(STREAMED_BYTES, 'abc');
    for (let start = 0; start < bytes.length; start += 1000) {
      request.write(bytes.subarray(start, start + 1000));
    }
    return request;
  }

  it('is streamed without loss when it is large', async () => {
    const read = await readStream(STREAMED_BYTES, () => {
      const request = sendLarge();
      request.end();
      return request;
    });
    const expected = Buffer.alloc(STREAMED_BYTES, 'abc');
    expect(Buffer.compare(read as Buffer, expected)).toEqual(0);
  });

  it('fails while it is streamed over the limit', async () => {
    const read = await readStream(STREAMED_BYTES - 1, sendLarge);
    expect(read).toEqual('body over the limit');
  });

  // A body that breaks off must not look complete to the server.
  it('fails when the caller disconnects within the stream', async () => {
    const read = await readStream(STREAMED_BYTES, () => {
      const request = sendLarge();
      setTimeout(() => request.destroy(), WAIT_MS);
      return request;
    });
    expect(read).toEqual('the body is incomplete');
  });

  // Megabytes of small chunks in one iteration of the event loop delay all other
  // requests.
  it('lets the event loop continue among many small chunks', async () => {
    const CHUNKS = 20_000;
    const request = fakeRequest({'transfer-encoding': 'chunked'});
    let turns = 0;
    let isRead = false;
    const countTurn = () => {
      turns += 1;
      if (!isRead) setImmediate(countTurn);
    };
    setImmediate(countTurn);
    const reading = readRequestBody(
      request,
      limits(CHUNKS, performance.now() + 2000),
    ).finally(() => (isRead = true));
    for (let count = 0; count < CHUNKS; count += 1) request.push('x');
    request.push(null);
    const read = await reading;
    expect(read.kind === 'read' && read.body.kind).toEqual('buffered');
    expect(turns > 10).toEqual(true);
  });

  // Many uploads at once must not take the memory of the instance.
  describe('of many requests', () => {
    const REQUESTS = 100;
    const BODY_BYTES = 900_000;
    const MEMORY_BYTES = 16_000_000;

    async function readAll(memory: BodyMemory) {
      const reading = Array.from({length: REQUESTS}, async () => {
        const request = fakeRequest({'transfer-encoding': 'chunked'});
        const options = limits(BODY_BYTES, performance.now() + 2000, memory);
        const result = readRequestBody(request, options);
        // All bodies arrive at the same pace.
        for (let sent = 0; sent < BODY_BYTES; sent += 10_000) {
          request.write(Buffer.alloc(10_000, 'abc'));
          await new Promise(setImmediate);
        }
        request.end();
        return {result: await result, reservation: options.reservation};
      });
      return Promise.all(reading);
    }

    it('stays within the memory for bodies', async () => {
      const memory = BodyMemory.create(MEMORY_BYTES);
      const reads = await readAll(memory);
      expect(memory.usedBytes <= MEMORY_BYTES).toEqual(true);
      const kinds = reads.map(({result}) =>
        result.kind === 'read' ? result.body.kind : result.kind,
      );
      const count = (kind: string) => kinds.filter(k => k === kind).length;
      // Those that can't be kept are passed on while there is memory for that.
      expect(count('stream') > 0).toEqual(true);
      expect(count('no-memory') > 0).toEqual(true);
      expect(count('stream') + count('no-memory') + count('buffered')).toEqual(
        REQUESTS,
      );
    });

    it('gives back the memory of each', async () => {
      const memory = BodyMemory.create(MEMORY_BYTES);
      const reads = await readAll(memory);
      for (const {result, reservation} of reads) {
        if (result.kind === 'read' && result.body.kind === 'stream') {
          result.body.stream.destroy();
        } else {
          reservation.release();
        }
      }
      await new Promise(setImmediate);
      expect(memory.usedBytes).toEqual(0);
    });

    it('arrive whole when they are passed on for lack of memory', async () => {
      const memory = BodyMemory.create(STREAM_BYTES);
      const request = fakeRequest({'transfer-encoding': 'chunked'});
      const options = limits(BODY_BYTES, performance.now() + 2000, memory);
      const bytes = Buffer.alloc(BODY_BYTES, 'abc');
      request.end(bytes);
      const read = await readRequestBody(request, options);
      if (read.kind !== 'read' || read.body.kind !== 'stream') {
        throw new Error(`expected a stream, got ${read.kind}`);
      }
      const pieces: Buffer[] = [];
      for await (const piece of read.body.stream) pieces.push(piece as Buffer);
      expect(Buffer.compare(Buffer.concat(pieces), bytes)).toEqual(0);
      expect(memory.usedBytes).toEqual(0);
    });
  });
});
