/** Guards against policy texts that are misread or whose errors lack a location. */
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
      source => source.replace('rank = 1', 'rang = 1'),
      'team.galerie-nord',
      '',
    ],
    [
      'a missing key',
      source => source.replace('timeout_ms = 1500\n', ''),
      'route.certify',
      'timeout_ms',
    ],
    [
      'an unknown section',
      source => `${source}\n[upstream.a]\nx = 1\n`,
      'upstream.a',
      '',
    ],
    [
      'a missing section',
      source => source.replace('[limits]', '[service.limits]'),
      'limits',
      '',
    ],
    [
      'a prefix without a final slash',
      source => source.replace('/hourly/', '/hourly'),
      'routes.0',
      'prefix',
    ],
    [
      'a part with an unknown service',
      source => source.replace('parts = certification', 'parts = nowhere'),
      'routes',
      '',
    ],
  ];
  for (const [fault, change, section, key] of faults) {
    it(`reports the location of ${fault}`, () => {
      const parsed = parsePolicyText(change(text), 'p.ini');
      if (parsed.ok) throw new Error('was accepted');
      expect(parsed.val.section).toEqual(section);
      expect(parsed.val.key).toEqual(key);
    });
  }
});
