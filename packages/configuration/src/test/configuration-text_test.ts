/** Guards against accepting malformed text and wrong error locations. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {formatTextError, parseConfigurationText} from '../index.js';

const VALID_TEXT = `[fleet]
schema_version = 1
name = test
max_instances = 4

[service.stock]
targets = 127.0.0.1:9000@zone-a, 127.0.0.1:9001@zone-b
slots = 6
connections = 360
capacity_floor = 0.5

[route.stock]
service = stock
path = /stock/*
methods = GET, HEAD
execution = idempotent
teams = *

[team.tills]
rate_per_second = 100
burst_tokens = 200
`;

function parseError(text: string): string {
  const parsed = parseConfigurationText(text, 'fleet.ini');
  return parsed.err ? formatTextError(parsed.val) : 'valid';
}

describe('parseConfigurationText', () => {
  it('reads services, routes and teams', () => {
    const {services, routes, teams} = parseConfigurationText(
      VALID_TEXT,
      'fleet.ini',
    ).unwrap();
    expect(services.get('stock')?.servers.length).toEqual(2);
    expect(routes[0]?.teams).toEqual('*');
    expect(teams.get('tills')?.burstTokens).toEqual(200);
  });

  const invalidTexts: [string, string, string][] = [
    ['an unknown key', VALID_TEXT.replace('slots', 'slotz'), 'slots'],
    ['a duplicate section', `${VALID_TEXT}\n[team.tills]\n`, '[team.tills]'],
    [
      'a duplicate key',
      VALID_TEXT.replace('slots = 6', 'slots = 6\nslots = 7'),
      'slots',
    ],
    [
      'a missing key',
      VALID_TEXT.replace('rate_per_second = 100\n', ''),
      'rate_per_second',
    ],
    ['a wrong number', VALID_TEXT.replace('= 360', '= many'), 'connections'],
    [
      'an unknown service',
      VALID_TEXT.replace('service = stock', 'service = x'),
      'service',
    ],
    ['an unknown team', VALID_TEXT.replace('teams = *', 'teams = x'), 'teams'],
    [
      'a host name as target',
      VALID_TEXT.replace('127.0.0.1:9000', 'host:9000'),
      'targets',
    ],
    [
      'another schema version',
      VALID_TEXT.replace('version = 1', 'version = 2'),
      'schema_version',
    ],
    [
      'a line that is not a key-value pair',
      `${VALID_TEXT}\nnonsense\n`,
      'key = value',
    ],
  ];
  for (const [name, text, location] of invalidTexts) {
    it(`reports the location of ${name} in one line`, () => {
      const message = parseError(text);
      expect(message.startsWith('fleet.ini: section [')).toEqual(true);
      expect(message.includes(location)).toEqual(true);
      expect(message.includes('\n')).toEqual(false);
    });
  }
});
