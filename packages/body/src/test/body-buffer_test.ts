/** Guards against memory that grows with the number of chunks of a body. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {BodyBuffer} from '../lib/body-buffer.js';

const BODY_BYTES = 1_048_576;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function usedBytes(): number {
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

function fill(body: BodyBuffer, chunkBytes: number): void {
  for (let bytes = 0; bytes < BODY_BYTES; bytes += chunkBytes) {
    // Not from the pool, like the chunks that Node's parser yields.
    body.append(Buffer.alloc(chunkBytes, bytes % 251));
  }
}

describe('body buffer', () => {
  for (const chunkBytes of [1, 8, 4096]) {
    // An array of the chunks takes more than 100 MB for chunks of one byte.
    it(`takes little more memory than its bytes, in chunks of ${chunkBytes}`, () => {
      const before = usedBytes();
      const body = BodyBuffer.create();
      fill(body, chunkBytes);
      const taken = usedBytes() - before;
      expect(body.byteLength).toEqual(BODY_BYTES);
      expect(taken < 4 * BODY_BYTES).toEqual(true);
    });
  }

  it('returns the bytes in their order and starts again empty', () => {
    const body = BodyBuffer.create();
    const expected: Buffer[] = [];
    for (let i = 0; i < 1000; i++) {
      const chunk = Buffer.from(`${i},`);
      expected.push(chunk);
      body.append(chunk);
    }
    expect(body.take()).toEqual(Buffer.concat(expected));
    expect(body.byteLength).toEqual(0);
    body.append(Buffer.from('next'));
    expect(body.take().toString()).toEqual('next');
  });
});
