/**
 * Reloads the settings file on a signal and when a periodic check finds it
 * changed. An invalid file leaves the old settings in force. Changed sections
 * that need a restart are logged.
 */
import type {Logger} from '@fireflytrack/telemetry';
import {readFile} from 'node:fs/promises';
import {parseGatewaySettings} from './gateway-settings.js';
import type {GatewaySettings} from './gateway-settings.js';

export interface SettingsReloadOptions {
  file: string;
  /** Contents of the file when the process started. */
  text: string;
  settings: GatewaySettings;
  /** Applies the settings that can change at run time. */
  apply(settings: GatewaySettings): void;
  logger: Logger;
}

// At this interval, reading the small file costs under 1 ms of CPU time per
// minute.
const CHECK_INTERVAL_MS = 5000;
/** Sections that can change without a restart. */
const RELOADABLE_SECTIONS: ReadonlySet<string> = new Set(['log']);

export class SettingsReload {
  private text: string;
  private settings: GatewaySettings;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: SettingsReloadOptions) {
    this.text = options.text;
    this.settings = options.settings;
  }

  static create(options: SettingsReloadOptions): SettingsReload {
    return new SettingsReload(options);
  }

  start(): void {
    this.timer = setInterval(() => void this.check(false), CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Reads the file. With `signalled`, an unchanged file is logged as well. */
  async check(signalled: boolean): Promise<void> {
    const {file, logger, apply} = this.options;
    let text: string;
    try {
      text = await readFile(file, 'utf8');
    } catch (error) {
      logger.warn('settings not read', {file, reason: String(error)});
      return;
    }
    if (text === this.text) {
      if (signalled) logger.info('settings unchanged', {file});
      return;
    }
    this.text = text;
    const parsed = parseGatewaySettings(text, file);
    if (parsed.err) {
      const {section, key, expected} = parsed.val;
      logger.warn('settings not taken', {file, section, key, expected});
      return;
    }
    const changed = changedSections(this.settings, parsed.val);
    this.settings = parsed.val;
    apply(parsed.val);
    logger.info('settings reloaded', {
      file,
      signalled,
      changed,
      atNextStart: changed.filter(section => !RELOADABLE_SECTIONS.has(section)),
    });
  }
}

function changedSections(
  before: GatewaySettings,
  after: GatewaySettings,
): string[] {
  const names = Object.keys(after) as (keyof GatewaySettings)[];
  return names.filter(
    name => serializeSection(before[name]) !== serializeSection(after[name]),
  );
}

function serializeSection(section: unknown): string {
  return JSON.stringify(section, (_key, value: unknown) =>
    value instanceof Map ? [...value] : value,
  );
}
