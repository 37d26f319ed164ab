/**
 * The configuration and keys of one instance, kept current by polling the
 * stored head.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {timingSafeEqual} from 'node:crypto';
import type {FreshnessEvidence} from '@fireflytrack/membership';
import type {Logger} from '@fireflytrack/telemetry';
import type {ConfigurationRepository} from './configuration-repository.js';
import type {
  ConfigurationSource,
  VersionedConfiguration,
} from './configuration-source.js';
import {parseConfigurationText} from './configuration-text.js';
import type {KeyError, KeyHolder, KeyStore} from './key-store.js';
import type {KeyRecord} from './stored-rows.js';
import {hashSecret, parseTeamKey} from './team-key.js';
import {formatTextError} from './text-error.js';

const POLL_PERIOD_MS = 1000;

export class PollingConfiguration implements ConfigurationSource, KeyStore {
  private inForce: VersionedConfiguration | undefined;
  private keys = new Map<string, KeyRecord>();
  private readonly listeners: ((current: VersionedConfiguration) => void)[] =
    [];
  private readonly withdrawnListeners: ((keyId: string) => void)[] = [];
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly repository: ConfigurationRepository,
    private readonly evidence: FreshnessEvidence,
    private readonly logger: Logger,
  ) {}

  static create(
    repository: ConfigurationRepository,
    evidence: FreshnessEvidence,
    logger: Logger,
  ): PollingConfiguration {
    return new PollingConfiguration(repository, evidence, logger);
  }

  async start(): Promise<void> {
    await this.poll();
    this.timer = setInterval(() => void this.poll(), POLL_PERIOD_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  current(): VersionedConfiguration | undefined {
    return this.inForce;
  }

  onChange(listener: (current: VersionedConfiguration) => void): void {
    this.listeners.push(listener);
    if (this.inForce) listener(this.inForce);
  }

  onWithdrawn(listener: (keyId: string) => void): void {
    this.withdrawnListeners.push(listener);
  }

  authenticate(presentedKey: string): Result<KeyHolder, KeyError> {
    const key = parseTeamKey(presentedKey);
    const record = key && this.keys.get(key.keyId);
    if (!key || !record) return Err({kind: 'unknown'});
    const presented = Buffer.from(hashSecret(key.secret), 'hex');
    const stored = Buffer.from(record.secretHash, 'hex');
    if (!timingSafeEqual(presented, stored)) return Err({kind: 'unknown'});
    if (record.withdrawn) return Err({kind: 'withdrawn'});
    return Ok({keyId: record.keyId, teamName: record.teamName});
  }

  /** Reads the stored head and keys once. */
  async poll(): Promise<void> {
    await this.pollKeys();
    const head = await this.repository.readHead();
    this.evidence.recordRead(head.ok);
    if (head.err || !head.val) return;
    if (head.val.version <= (this.inForce?.version ?? 0)) return;
    const text = await this.repository.readText(head.val.objectKey);
    if (text.err || text.val === undefined) return;
    const parsed = parseConfigurationText(text.val, 'stored configuration');
    if (parsed.err) {
      this.logger.error(formatTextError(parsed.val));
      return;
    }
    this.inForce = {version: head.val.version, configuration: parsed.val};
    this.logger.info('configuration in use', {version: head.val.version});
    for (const listener of this.listeners) listener(this.inForce);
  }

  private async pollKeys(): Promise<void> {
    const keys = await this.repository.readKeys();
    if (keys.err) return;
    const previous = this.keys;
    this.keys = new Map(keys.val.map(key => [key.keyId, key]));
    for (const key of keys.val) {
      if (!key.withdrawn || previous.get(key.keyId)?.withdrawn) continue;
      for (const listener of this.withdrawnListeners) listener(key.keyId);
    }
  }
}
