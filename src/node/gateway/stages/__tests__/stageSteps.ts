import fc from 'fast-check'
import type { StagePieceResult } from '../../model/stagePieceResult.js'
import type { StageStep } from './stageStep.js'

type Failure = Extract<StagePieceResult, { readonly failure: string }>['failure']

const pick = fc.nat(1000)
const failure = fc.oneof(
  { weight: 12, arbitrary: fc.constant(undefined) },
  { weight: 2, arbitrary: fc.constantFrom<Failure>('input-gone', 'no-room', 'error') }
)
const stageStep = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('add'), shape: fc.nat(100), targetInMs: fc.integer({ min: 500, max: 30_000 }), deadlineInMs: fc.integer({ min: 3000, max: 60_000 }) }) },
  { weight: 6, arbitrary: fc.record({ type: fc.constant('plan'), afterMs: fc.nat(300) }) },
  { weight: 14, arbitrary: fc.record({ type: fc.constant('answer'), pick, failures: fc.array(failure, { minLength: 10, maxLength: 10 }), isPlanned: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('fail'), pick, mayHaveRun: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('freeze'), afterMs: fc.integer({ min: 2000, max: 5000 }) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('lose'), service: fc.nat(3), domains: fc.nat(7) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('cancel'), pick }) }
) as fc.Arbitrary<StageStep>

/** Orders of events as they come beside freezes, lost upstreams, failures and callers that leave. */
export const stageSteps = fc.array(stageStep, { minLength: 60, maxLength: 200 })
