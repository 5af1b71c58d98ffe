import type { StagePieceResult } from '../../model/stagePieceResult.js'

type Failure = Extract<StagePieceResult, { readonly failure: string }>['failure']

/** One event of a random run of the scheduler. `pick` chooses among the calls or jobs that there are. */
export type StageStep =
  | { readonly type: 'add', readonly shape: number, readonly targetInMs: number, readonly deadlineInMs: number }
  | { readonly type: 'plan', readonly afterMs: number }
  | {
    readonly type: 'answer',
    readonly pick: number,
    /** Of each piece of the call, if it fails. */
    readonly failures: ReadonlyArray<Failure | undefined>,
    readonly isPlanned: boolean
  }
  | { readonly type: 'fail', readonly pick: number, readonly mayHaveRun: boolean }
  | { readonly type: 'freeze', readonly afterMs: number }
  | { readonly type: 'lose', readonly service: number, readonly domains: number }
  | { readonly type: 'cancel', readonly pick: number }
