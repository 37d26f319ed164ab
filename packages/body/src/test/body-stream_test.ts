/** Guards against bodies that are lost, reordered or read faster than they are passed on. */
import {expect} from 'earl';
import {setImmediate as nextIteration} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {BodyStream} from '../lib/body-stream.js';

class CountingSource {
  pauses = 0;
  resumes = 0;
  closes = 0;

  pause(): void {
    this.pauses++;
  }

  resume(): void {
    this.resumes++;
  }

  close(): void {
    this.closes++;
  }
}

async function readAll(stream: BodyStream): Promise<Buffer[]> {
  const pieces: Buffer[] = [];
  for await (const piece of stream) pieces.push(piece as Buffer);
  return pieces;
}

describe('body stream', () => {
  it('passes on the chunks of one iteration together', async () => {
    const stream = BodyStream.create(new CountingSource());
    const read = readAll(stream);
    for (const text of ['a', 'b', 'c']) stream.append(Buffer.from(text));
    await nextIteration();
    await nextIteration();
    for (const text of ['d', 'e']) stream.append(Buffer.from(text));
    stream.finish();
    expect((await read).map(String)).toEqual(['abc', 'de']);
  });

  it('pauses its source until the reader has caught up', async () => {
    const source = new CountingSource();
    const stream = BodyStream.create(source);
    stream.append(Buffer.alloc(1_048_576));
    await nextIteration();
    expect(source.pauses).toEqual(1);
    expect(source.resumes).toEqual(0);
    expect((stream.read() as Buffer).length).toEqual(1_048_576);
    stream.read();
    await nextIteration();
    expect(source.resumes > 0).toEqual(true);
  });

  // A fast source would fill the memory within one iteration.
  it('pauses its source within one iteration', () => {
    const source = new CountingSource();
    const stream = BodyStream.create(source);
    const chunk = Buffer.alloc(65_536);
    for (let i = 0; i < 4; i++) stream.append(chunk);
    expect(source.pauses > 0).toEqual(true);
  });

  it('closes its source when the reader leaves', async () => {
    const source = new CountingSource();
    const stream = BodyStream.create(source);
    stream.append(Buffer.from('a'));
    stream.destroy();
    await nextIteration();
    expect(source.closes).toEqual(1);
  });
});
