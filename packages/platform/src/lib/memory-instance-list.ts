/** In-memory instance list. Tests set its contents, which can be out of date. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {InstanceList, ListedInstance} from './instance-list.js';
import {platformError} from './platform-error.js';
import type {PlatformError} from './platform-error.js';

export class MemoryInstanceList implements InstanceList {
  /** When true, every call fails. */
  unavailable = false;
  private readonly instances = new Map<string, ListedInstance>();

  static create(): MemoryInstanceList {
    return new MemoryInstanceList();
  }

  set(instance: ListedInstance): void {
    this.instances.set(instance.instanceId, instance);
  }

  remove(instanceId: string): void {
    this.instances.delete(instanceId);
  }

  async list(): Promise<Result<ListedInstance[], PlatformError>> {
    if (this.unavailable) {
      return Err(platformError('unavailable', 'instance list unavailable'));
    }
    return Ok([...this.instances.values()]);
  }
}
