/** Guards against a caller's key reaching a backend server (P3). */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {
  headersWithoutKey,
  findCallerKey,
  targetWithoutKey,
} from '../lib/caller-key.js';

const KEY = `fft_${'a'.repeat(16)}_${'b'.repeat(48)}`;

describe('caller key', () => {
  it('is removed from every header and parameter that contains it', () => {
    const headers = {
      authorization: `Bearer ${KEY}`,
      cookie: `session=${KEY}`,
      referer: `/?k=${encodeURIComponent(KEY)}`,
      accept: 'text/plain',
    };
    expect(headersWithoutKey(headers, KEY)).toEqual({accept: 'text/plain'});
    const query = new URLSearchParams({api_key: KEY, k: KEY, page: '2'});
    expect(targetWithoutKey('/a', query, KEY).unwrap()).toEqual('/a?page=2');
  });

  it('is rejected in the path', () => {
    const target = targetWithoutKey(`/a/${KEY}`, new URLSearchParams(), KEY);
    expect(target.err).toEqual(true);
  });

  it('is rejected when a request presents two different keys', () => {
    const query = new URLSearchParams({api_key: 'other'});
    const key = findCallerKey({'x-api-key': KEY}, query);
    expect(key.err && key.val.code).toEqual('key_ambiguous');
  });
});
