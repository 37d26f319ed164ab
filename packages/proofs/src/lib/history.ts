/**
 * Records the events and operations that callers, backend servers, the table
 * and operators observed in a concurrent run. Checkers read only the history
 * and don't depend on the code that produced it.
 */

export interface HistoryEvent {
  atMs: number;
  /** The caller, instance, backend server or operator that observed it. */
  process: string;
  kind: string;
  /** Correlates the events of one operation, for example a request's key. */
  operationId: string;
  value: unknown;
}

/** An operation with its invocation and, once completed, its return. */
export interface HistoryOperation {
  process: string;
  kind: string;
  operationId: string;
  input: unknown;
  invokedAtMs: number;
  output: unknown;
  /** Undefined until the operation returns. */
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

  /**
   * Records the start of an operation. Calling the returned function with the
   * output records its completion.
   */
  startOperation(
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

  eventsOfKind(kind: string): HistoryEvent[] {
    return this.events.filter(event => event.kind === kind);
  }
}
