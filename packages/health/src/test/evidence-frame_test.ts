/**
 * Tests encoding and decoding of evidence entries and the validation of frames.
 */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {
  decodeEntry,
  encodeEntry,
  evidenceFrameSchema,
} from '../lib/evidence-frame.js';
import {zeroPeriodCounts} from '../lib/period-counts.js';

describe('evidence frame', () => {
  it('round-trips an entry and omits trailing zeros', () => {
    const counts = {...zeroPeriodCounts(), successes: 7};
    const entry = {
      index: 3,
      state: 'readmitted' as const,
      ejections: 2,
      outstanding: 1,
      counts,
    };
    expect(encodeEntry(entry)).toEqual([3, 3, 2, 1, 7]);
    expect(decodeEntry(encodeEntry(entry))).toEqual(entry);
  });

  it('rejects entries that are not lists of counts', () => {
    for (const entry of [[0, -1], [0.5], ['x'], [], Array(20).fill(0)]) {
      const frame = [['counting', 1, [entry]]];
      expect(evidenceFrameSchema.safeParse(frame).success).toEqual(false);
    }
  });
});
