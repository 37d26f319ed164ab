/** Whether this instance may currently serve requests. */

export type ServingState =
  | 'serving'
  /** Isolated for so long that key withdrawals may have been missed. */
  | 'not-fresh'
  /** Past the time limit of a planned shutdown. */
  | 'stopping';

export interface ServingGate {
  state(): ServingState;
}

/** Always allows serving; for tools and tests. */
export class AlwaysServingGate implements ServingGate {
  static create(): AlwaysServingGate {
    return new AlwaysServingGate();
  }

  state(): ServingState {
    return 'serving';
  }
}
