/** Guards against undocumented configuration keys and outdated examples. */
import {
  formatTextError,
  parseConfigurationText,
  parseIni,
} from '@fireflytrack/configuration';
import {expect} from 'earl';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {settingsSchema} from '../lib/settings.js';

const root = new URL('../../../../', import.meta.url);
const readText = (path: string) => readFileSync(new URL(path, root), 'utf8');
const page = readText('docs/configuration.md');

/** Reads the keys from the parser's error about an unknown key, which lists them. */
function findKeysOfSection(text: string, section: string): string[] {
  const withUnknownKey = text.replace(
    `[${section}]\n`,
    `[${section}]\nzzz = 1\n`,
  );
  const parsed = parseConfigurationText(withUnknownKey, 'text');
  const message = parsed.err ? formatTextError(parsed.val) : '';
  return message.split('expected one of ')[1]?.split(', ') ?? [];
}

describe('docs/configuration.md', () => {
  for (const section of [
    'fleet',
    'service.counting',
    'route.counts',
    'team.airport',
  ]) {
    it(`documents every key of [${section}]`, () => {
      const keys = findKeysOfSection(readText('examples/tunisia.ini'), section);
      expect(keys.length > 1).toEqual(true);
      const missing = keys.filter(key => !page.includes(`\`${key}\``));
      expect(missing).toEqual([]);
    });
  }

  for (const [section, schema] of Object.entries(settingsSchema.shape)) {
    it(`documents every key of the settings section [${section}]`, () => {
      const {shape} = 'unwrap' in schema ? schema.unwrap() : schema;
      const names = [`[${section}]`, ...Object.keys(shape)];
      const missing = names.filter(name => !page.includes(`\`${name}\``));
      expect(missing).toEqual([]);
    });
  }
});

describe('examples', () => {
  for (const name of ['tunisia', 'lariana']) {
    it(`${name}.ini is valid and has the documented fleet size`, () => {
      const text = readText(`examples/${name}.ini`);
      const parsed = parseConfigurationText(text, `${name}.ini`).unwrap();
      const services = [...parsed.services.values()];
      const zones = services.flatMap(service =>
        service.servers.map(server => server.availabilityZone),
      );
      const once = parsed.routes.filter(route => route.execution === 'once');
      expect(services.map(service => service.servers.length)).toEqual([
        ...[12, 12, 12, 12],
      ]);
      expect(new Set(zones).size).toEqual(6);
      expect(parsed.teams.size).toEqual(8);
      expect(once.length).toEqual(1);
      expect(parsed.maxInstances >= 40).toEqual(true);
      const {fleet} = Object.fromEntries(parseIni(text, name).unwrap());
      expect(fleet?.get('schema_version')).toEqual('1');
    });
  }
});
