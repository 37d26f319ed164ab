/**
 * The state dump of a process: each slice registers a provider by name.
 *
 * A dump carries no key material: providers return counts, ids and times only.
 */

/** Returns plain data that JSON can carry. */
export type StateProvider = () => unknown;

export class StateDump {
  private readonly providers = new Map<string, StateProvider>();

  static create(): StateDump {
    return new StateDump();
  }

  register(name: string, provider: StateProvider): void {
    this.providers.set(name, provider);
  }

  /** Collects all parts; a provider that throws is shown as its error. */
  collect(): Record<string, unknown> {
    const dump: Record<string, unknown> = {};
    for (const [name, provider] of this.providers) {
      try {
        dump[name] = provider();
      } catch (error) {
        dump[name] = {error: String(error)};
      }
    }
    return dump;
  }
}
