/** Guards against outdated, forged or invalid versions and lost withdrawals. */
import {expect} from 'earl';
import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import {createTeamKey, hashSecret} from '../index.js';
import {KeyRing} from '../lib/key-ring.js';
import type {VersionedText} from '../lib/stored-rows.js';
import {VersionChain} from '../lib/version-chain.js';
import type {InstallError} from '../lib/version-chain.js';
import {WithdrawnSet} from '../lib/withdrawn-set.js';

function makeVersion(
  version: number,
  previousHash: string,
  name = `v${version}`,
) {
  const text = `[fleet]\nschema_version = 1\nname = ${name}\nmax_instances = 4\n`;
  const hash = createHash('sha256').update(text).digest('hex');
  return {version, hash, previousHash, text};
}

describe('VersionChain', () => {
  const first = makeVersion(1, '');
  const second = makeVersion(2, first.hash);
  const rejected: [string, VersionedText, InstallError['kind']][] = [
    ['an older version', first, 'not-newer'],
    ['the same version again', makeVersion(2, first.hash, 'x'), 'not-newer'],
    [
      'a text that differs from its hash',
      {...makeVersion(3, second.hash), text: second.text},
      'hash-mismatch',
    ],
    [
      'a successor of another version',
      makeVersion(3, first.hash),
      'chain-broken',
    ],
    [
      'an invalid text',
      makeVersion(5, second.hash, 'NOT A NAME'),
      'invalid-text',
    ],
  ];
  for (const [name, candidate, kind] of rejected) {
    it(`rejects ${name}`, () => {
      const chain = VersionChain.create();
      chain.install(first).unwrap();
      chain.install(second).unwrap();
      const installed = chain.install(candidate);
      expect(installed.err && installed.val.kind).toEqual(kind);
      expect(chain.version).toEqual(2);
    });
  }

  it('installs a version that skips intermediate versions', () => {
    const chain = VersionChain.create();
    chain.install(first).unwrap();
    chain.install(makeVersion(9, second.hash)).unwrap();
    expect(chain.version).toEqual(9);
  });
});

describe('KeyRing', () => {
  const key = createTeamKey();
  const presentedKey = `fft_${key.keyId}_${key.secret}`;
  const record = {
    keyId: key.keyId,
    teamName: 'tills',
    secretHash: hashSecret(key.secret),
  };

  it('keeps a withdrawal when an older key set arrives later', () => {
    const ring = KeyRing.create();
    ring.merge({version: 2, keys: [record], withdrawn: [key.keyId]});
    ring.merge({version: 1, keys: [record], withdrawn: []});
    const found = ring.authenticate(presentedKey);
    expect(found.err && found.val.kind).toEqual('withdrawn');
    expect(ring.version).toEqual(2);
  });

  it('does not reassign a known key id to another team', () => {
    const ring = KeyRing.create();
    ring.merge({version: 1, keys: [record], withdrawn: []});
    const forged = {...record, teamName: 'other'};
    ring.merge({version: 2, keys: [forged], withdrawn: []});
    expect(ring.authenticate(presentedKey).unwrap().teamName).toEqual('tills');
  });

  it('does not reveal that a key was withdrawn to a caller with a wrong secret', () => {
    const ring = KeyRing.create();
    ring.merge({version: 1, keys: [record], withdrawn: [key.keyId]});
    const wrong = `fft_${key.keyId}_${createTeamKey().secret}`;
    const found = ring.authenticate(wrong);
    expect(found.err && found.val.kind).toEqual('unknown');
  });
});

describe('WithdrawnSet', () => {
  it('proves only the ids that a digest covers', () => {
    const [first, second] = [createTeamKey().keyId, createTeamKey().keyId];
    const set = WithdrawnSet.create();
    set.merge([first]);
    const firstDigest = set.digest;
    set.merge([second]);
    expect(set.provesContained(firstDigest, first)).toEqual(true);
    expect(set.provesContained(firstDigest, second)).toEqual(false);
    expect(set.provesContained('unknown', first)).toEqual(false);
    expect(set.isKnownSubset(firstDigest)).toEqual(true);
  });
});
