/**
 * The state dump of a process: each component registers a provider by name.
 *
 * A dump contains no key material: providers return counts, ids and times only.
 */

/** Returns plain, JSON-serializable data. */
export type StateProvider = () => unknown;

export class StateDump {
  private readonly providers = new Map<string, StateProvider>();

  static create(): StateDump {
    return new StateDump();
  }

  register(name: string, provider: StateProvider): void {
    this.providers.set(name, provider);
  }

  /** Calls all providers; one that throws is represented by `{error}`. */
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
