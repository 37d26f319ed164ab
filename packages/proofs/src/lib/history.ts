/**
 * Records what callers, backend servers, the table and the operators saw of a
 * concurrent run. Checkers read a history and know nothing of the code that
 * made it.
 */

export interface HistoryEvent {
  atMs: number;
  /** The caller, instance, backend server or operator that saw it. */
  process: string;
  kind: string;
  /** Joins the events of one operation, such as a request's key. */
  operationId: string;
  value: unknown;
}

/** An operation that was invoked and, unless it is open, returned. */
export interface HistoryOperation {
  process: string;
  kind: string;
  operationId: string;
  input: unknown;
  invokedAtMs: number;
  output: unknown;
  /** Undefined while the operation has not returned. */
  returnedAtMs: number | undefined;
}

export class History {
  readonly events: HistoryEvent[] = [];
  readonly operations: HistoryOperation[] = [];

  static create(): History {
    return new History();
  }

  record(
    process: string,
    kind: string,
    operationId: string,
    value: unknown = undefined,
  ): void {
    const atMs = performance.now();
    this.events.push({atMs, process, kind, operationId, value});
  }

  /** Starts an operation; call the returned function with its output. */
  invoke(
    process: string,
    kind: string,
    operationId: string,
    input: unknown = undefined,
  ): (output: unknown) => void {
    const operation: HistoryOperation = {
      process,
      kind,
      operationId,
      input,
      invokedAtMs: performance.now(),
      output: undefined,
      returnedAtMs: undefined,
    };
    this.operations.push(operation);
    return output => {
      operation.output = output;
      operation.returnedAtMs = performance.now();
    };
  }

  ofKind(kind: string): HistoryEvent[] {
    return this.events.filter(event => event.kind === kind);
  }
}
