/** Guards against old, forged or broken versions and forgotten withdrawals. */
import {expect} from 'earl';
import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import {createTeamKey, hashSecret} from '../index.js';
import {KeyRing} from '../lib/key-ring.js';
import type {VersionedText} from '../lib/stored-rows.js';
import {VersionChain} from '../lib/version-chain.js';
import type {OfferError} from '../lib/version-chain.js';
import {WithdrawnSet} from '../lib/withdrawn-set.js';

function versionOf(
  version: number,
  previousHash: string,
  name = `v${version}`,
) {
  const text = `[fleet]\nschema_version = 1\nname = ${name}\nmax_instances = 4\n`;
  const hash = createHash('sha256').update(text).digest('hex');
  return {version, hash, previousHash, text};
}

describe('VersionChain', () => {
  const first = versionOf(1, '');
  const second = versionOf(2, first.hash);
  const refused: [string, VersionedText, OfferError['kind']][] = [
    ['an older version', first, 'not-newer'],
    ['the same version again', versionOf(2, first.hash, 'x'), 'not-newer'],
    [
      'a text that differs from its hash',
      {...versionOf(3, second.hash), text: second.text},
      'hash-mismatch',
    ],
    [
      'a successor of another version',
      versionOf(3, first.hash),
      'chain-broken',
    ],
    [
      'a text that is not valid',
      versionOf(5, second.hash, 'NOT A NAME'),
      'invalid-text',
    ],
  ];
  for (const [name, candidate, kind] of refused) {
    it(`refuses ${name}`, () => {
      const chain = VersionChain.create();
      chain.offer(first).unwrap();
      chain.offer(second).unwrap();
      const offered = chain.offer(candidate);
      expect(offered.err && offered.val.kind).toEqual(kind);
      expect(chain.version).toEqual(2);
    });
  }

  it('takes a version that skips others', () => {
    const chain = VersionChain.create();
    chain.offer(first).unwrap();
    chain.offer(versionOf(9, second.hash)).unwrap();
    expect(chain.version).toEqual(9);
  });
});

describe('KeyRing', () => {
  const key = createTeamKey();
  const text = `fft_${key.keyId}_${key.secret}`;
  const record = {
    keyId: key.keyId,
    teamName: 'tills',
    secretHash: hashSecret(key.secret),
  };

  it('keeps a withdrawal when an older key set arrives later', () => {
    const ring = KeyRing.create();
    ring.merge({version: 2, keys: [record], withdrawn: [key.keyId]});
    ring.merge({version: 1, keys: [record], withdrawn: []});
    const found = ring.authenticate(text);
    expect(found.err && found.val.kind).toEqual('withdrawn');
    expect(ring.version).toEqual(2);
  });

  it('does not hand a known key id to another team', () => {
    const ring = KeyRing.create();
    ring.merge({version: 1, keys: [record], withdrawn: []});
    const forged = {...record, teamName: 'other'};
    ring.merge({version: 2, keys: [forged], withdrawn: []});
    expect(ring.authenticate(text).unwrap().teamName).toEqual('tills');
  });

  it('does not say that a wrong secret belongs to a withdrawn key', () => {
    const ring = KeyRing.create();
    ring.merge({version: 1, keys: [record], withdrawn: [key.keyId]});
    const wrong = `fft_${key.keyId}_${createTeamKey().secret}`;
    const found = ring.authenticate(wrong);
    expect(found.err && found.val.kind).toEqual('unknown');
  });
});

describe('WithdrawnSet', () => {
  it('proves only what a shown digest includes', () => {
    const [first, second] = [createTeamKey().keyId, createTeamKey().keyId];
    const set = WithdrawnSet.create();
    set.merge([first]);
    const early = set.digest;
    set.merge([second]);
    expect(set.provesHeld(early, first)).toEqual(true);
    expect(set.provesHeld(early, second)).toEqual(false);
    expect(set.provesHeld('unknown', first)).toEqual(false);
    expect(set.covers(early)).toEqual(true);
  });
});
