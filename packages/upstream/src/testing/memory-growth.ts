/**
 * Measures how much memory this process gains while something runs. Garbage is
 * collected at short intervals, because V8 otherwise lets tens of megabytes of
 * read buffers accumulate, which are not held by the code under test.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const COLLECT_EVERY_MS = 25;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

export class MemoryGrowth {
  private constructor(
    private readonly residentBytes: number,
    private readonly liveBytes: number,
    private readonly timer: NodeJS.Timeout,
  ) {}

  /** Starts a measurement, which must be ended by `stop`. */
  static start(): MemoryGrowth {
    collectGarbage();
    return new MemoryGrowth(
      process.memoryUsage.rss(),
      measureLiveBytes(),
      setInterval(collectGarbage, COLLECT_EVERY_MS),
    );
  }

  /** Returns the growth of the process, and of what garbage collection left. */
  stop(): {residentBytes: number; liveBytes: number} {
    clearInterval(this.timer);
    collectGarbage();
    return {
      residentBytes: process.memoryUsage.rss() - this.residentBytes,
      liveBytes: measureLiveBytes() - this.liveBytes,
    };
  }
}

function measureLiveBytes(): number {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}
