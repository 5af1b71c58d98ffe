import fc from 'fast-check'
import type { StagePieceResult } from '../../model/stagePieceResult.js'
import type { StageStep } from './stageStep.js'

type Failure = Extract<StagePieceResult, { readonly failure: string }>['failure']

const pick = fc.nat(1000)
const failure = fc.oneof(
  { weight: 12, arbitrary: fc.constant(undefined) },
  { weight: 2, arbitrary: fc.constantFrom<Failure>('input-gone', 'no-room', 'error') }
)
const targetInMs = fc.integer({ min: 500, max: 30_000 })
const deadlineInMs = fc.integer({ min: 3000, max: 60_000 })
const failures = fc.array(failure, { minLength: 10, maxLength: 10 })
const add = fc.record({ type: fc.constant('add'), shape: fc.nat(100), targetInMs, deadlineInMs })
const plan = fc.record({ type: fc.constant('plan'), afterMs: fc.nat(300) })
const answer = fc.record({ type: fc.constant('answer'), pick, failures, isPlanned: fc.boolean() })
const fail = fc.record({ type: fc.constant('fail'), pick, mayHaveRun: fc.boolean() })
const freeze = fc.record({ type: fc.constant('freeze'), afterMs: fc.integer({ min: 2000, max: 5000 }) })
const lose = fc.record({ type: fc.constant('lose'), service: fc.nat(3), domains: fc.nat(7) })
const cancel = fc.record({ type: fc.constant('cancel'), pick })
const stageStep = fc.oneof(
  { weight: 6, arbitrary: add },
  { weight: 6, arbitrary: plan },
  { weight: 14, arbitrary: answer },
  { weight: 2, arbitrary: fail },
  { weight: 2, arbitrary: freeze },
  { weight: 1, arbitrary: lose },
  { weight: 1, arbitrary: cancel }
) as fc.Arbitrary<StageStep>

/** Orders of events as they come beside freezes, lost upstreams, failures and callers that leave. */
export const stageSteps = fc.array(stageStep, { minLength: 60, maxLength: 200 })
