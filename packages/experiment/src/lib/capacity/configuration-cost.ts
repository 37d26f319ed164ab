/** Measures the cost of a configuration by its number of teams and routes. */
import {parseConfigurationText} from '@fireflytrack/configuration';
import type {Configuration} from '@fireflytrack/configuration';
import {createHash} from 'node:crypto';
import {meanUs, retainedBytes} from './stopwatch.js';

export interface ConfigurationCost {
  teamsAndRoutes: number;
  textBytes: number;
  retainedBytes: number;
  /** Parsing and validation; each change loads the complete text again. */
  loadMs: number;
  hashMs: number;
}

const TEAMS_PER_SERVICE = 60;

export function generateConfigurationText(count: number): string {
  const services = Math.ceil(count / TEAMS_PER_SERVICE);
  const parts = [
    '[fleet]\nschema_version = 1\nname = large\nmax_instances = 7000\n',
  ];
  for (let index = 0; index < services; index += 1) {
    const host = `10.${(index >> 8) & 255}.${index & 255}`;
    parts.push(`[service.service-${index}]
targets = ${host}.1:9000@nord-1, ${host}.2:9000@nord-2
slots = 4
connections = 360
capacity_floor = 0.5
`);
  }
  for (let index = 0; index < count; index += 1) {
    parts.push(`[team.team-${index}]
rate_per_second = 100
burst_tokens = 100

[route.route-${index}]
service = service-${index % services}
path = /readings/${index}/*
methods = GET
execution = idempotent
teams = team-${index}
`);
  }
  return parts.join('\n');
}

export function generateConfiguration(count: number): Configuration {
  return parseOrThrow(generateConfigurationText(count));
}

export function measureConfigurationCost(count: number): ConfigurationCost {
  const text = generateConfigurationText(count);
  const loaded = retainedBytes(() => parseOrThrow(text));
  return {
    teamsAndRoutes: loaded.value.teams.size,
    textBytes: Buffer.byteLength(text),
    retainedBytes: loaded.bytes,
    loadMs: meanUs(() => parseOrThrow(text)) / 1000,
    hashMs:
      meanUs(() => createHash('sha256').update(text).digest('hex')) / 1000,
  };
}

function parseOrThrow(text: string): Configuration {
  const parsed = parseConfigurationText(text, 'fleet.ini');
  if (parsed.err) throw new Error(JSON.stringify(parsed.val));
  return parsed.val;
}
