/** Guards against policy texts that are read wrongly or fail without a place. */
import {expect} from 'earl';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {parsePolicyText} from '../lib/policy-text.js';

const example = fileURLToPath(
  new URL('../../../../examples/gateway-policy.ini', import.meta.url),
);
const text = readFileSync(example, 'utf8');

describe('policy text', () => {
  it('reads hosts, prefixes, splits, attempts, ranks and open routes', () => {
    const policy = parsePolicyText(text, example).unwrap();
    const [hourly, certify, status] = policy.routes;
    expect(hourly!.host).toEqual('counting.example');
    expect(hourly!.prefix).toEqual('/hourly/');
    expect(hourly!.parts).toEqual([
      {service: 'counting', weight: 90},
      {service: 'counting-next', weight: 10},
    ]);
    expect(certify!.execution).toEqual('once');
    expect(certify!.maxAttempts).toEqual(2);
    expect(status!.open).toEqual(true);
    expect(policy.teams![0]!.rank).toEqual(1);
    expect(policy.teams![0]!.burstTokens).toEqual(32);
  });

  const faults: [string, (text: string) => string, string, string][] = [
    [
      'an unknown key',
      all => all.replace('rank = 1', 'rang = 1'),
      'team.galerie-nord',
      '',
    ],
    [
      'a missing key',
      all => all.replace('timeout_ms = 1500\n', ''),
      'route.certify',
      'timeout_ms',
    ],
    [
      'an unknown section',
      all => `${all}\n[upstream.a]\nx = 1\n`,
      'upstream.a',
      '',
    ],
    [
      'a missing section',
      all => all.replace('[limits]', '[service.limits]'),
      'limits',
      '',
    ],
    [
      'a bare prefix',
      all => all.replace('/hourly/', '/hourly'),
      'routes.0',
      'prefix',
    ],
    [
      'a part that no service has',
      all => all.replace('parts = certification', 'parts = nowhere'),
      'routes',
      '',
    ],
  ];
  for (const [fault, change, section, key] of faults) {
    it(`names the place of ${fault}`, () => {
      const parsed = parsePolicyText(change(text), 'p.ini');
      if (parsed.ok) throw new Error('was accepted');
      expect(parsed.val.section).toEqual(section);
      expect(parsed.val.key).toEqual(key);
    });
  }
});
