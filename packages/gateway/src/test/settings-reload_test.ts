/** Guards against settings that are lost, partly applied or silently ignored. */
import {createLogger} from '@fireflytrack/telemetry';
import {expect} from 'earl';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {parseGatewaySettings} from '../lib/gateway-settings.js';
import type {GatewaySettings} from '../lib/gateway-settings.js';
import {SettingsReload} from '../lib/settings-reload.js';
import {settingsText} from '../testing/settings-text.js';

describe('settings reload', () => {
  let folder: string;
  let file: string;
  let applied: GatewaySettings[];
  let messages: Record<string, unknown>[];
  let reload: SettingsReload;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'fireflytrack-settings-'));
    file = join(folder, 'settings.ini');
    const text = settingsText({});
    writeFileSync(file, text);
    applied = [];
    messages = [];
    const logger = createLogger({level: 'info', silent: true});
    const record = (message: unknown, fields: unknown) => {
      messages.push({message, ...(fields as object)});
      return logger;
    };
    logger.info = record as typeof logger.info;
    logger.warn = record as typeof logger.warn;
    reload = SettingsReload.create({
      file,
      text,
      settings: parseGatewaySettings(text, file).unwrap(),
      apply: settings => applied.push(settings),
      logger,
    });
  });
  afterEach(() => {
    reload.stop();
    rmSync(folder, {recursive: true});
  });

  it('applies a changed file without a signal', async () => {
    writeFileSync(file, settingsText({level: 'debug'}));
    await reload.check(false);
    expect(applied[0]!.log.level).toEqual('debug');
    expect(messages[0]!['changed']).toEqual(['log']);
    expect(messages[0]!['atNextStart']).toEqual([]);
  });

  it('logs the changed sections that need a restart', async () => {
    writeFileSync(file, settingsText({policyWaitMs: 777}));
    await reload.check(true);
    expect(messages[0]!['atNextStart']).toEqual(['store']);
  });

  it('keeps the old settings when the file is invalid or missing', async () => {
    writeFileSync(file, settingsText({level: 'loud'}));
    await reload.check(true);
    expect(applied).toEqual([]);
    expect(messages[0]!['section']).toEqual('log');
    rmSync(file);
    await reload.check(true);
    expect(applied).toEqual([]);
    expect(messages[1]!['message']).toEqual('settings not read');
  });

  it('logs when a signal finds the file unchanged', async () => {
    await reload.check(true);
    expect(messages[0]!['message']).toEqual('settings unchanged');
    await reload.check(false);
    expect(messages.length).toEqual(1);
  });
});
