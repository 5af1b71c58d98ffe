import { createTestScheduler } from './createTestScheduler.js'
import type { StageCall } from '../stageCall.js'
import type { StageJob } from '../stageJob.js'
import type { StagePiece } from '../../model/stagePiece.js'
import type { StagePieceResult } from '../../model/stagePieceResult.js'
import type { StageStep } from './stageStep.js'

interface StagesRun {
  readonly calls: number
  /** What was wrong with the inputs of a piece or of a completed job, and jobs that stood still. */
  readonly faults: readonly string[]
}

interface MadeResult {
  readonly jobId: string
  readonly stageIndex: number
  readonly pieceIndex: number
}

/** Time in which all jobs are to end once all upstreams serve. */
const drainMs = 20_000
const drainStepMs = 260
const domains = ['x', 'y', 'z']
const services = [
  { name: 'a', domains, batchSize: 2 },
  { name: 'b', domains: ['x', 'y'], batchSize: 4, resultRoomBytes: 6000 },
  { name: 'c', domains: ['x'], batchSize: 10 },
  { name: 'd', domains: ['y', 'z'], batchSize: 1 }
]

/** Stages of jobs: chains, inputs that two stages share, two inputs of one stage, and stages of one service. */
const shapes: ReadonlyArray<ReadonlyArray<Partial<StageJob['stages'][number]>>> = [
  [{ pieceCount: 2 }, { service: 'b', after: [0], pieceCount: 3 }, { service: 'd', after: [1], pieceCount: 4 }],
  [{ pieceCount: 2 }, { service: 'b', after: [0], pieceCount: 5 }, { service: 'd', after: [0], pieceCount: 3 }],
  [{ pieceCount: 3 }, { service: 'd', pieceCount: 2 }, { service: 'c', after: [0, 1], pieceCount: 4 }],
  [{ pieceCount: 1 }, { after: [0], pieceCount: 5 }, { after: [1], pieceCount: 3 }],
  [{ service: 'd', pieceCount: 3 }],
  [
    { pieceCount: 2 },
    { service: 'b', after: [0], pieceCount: 2 },
    { service: 'c', after: [0], pieceCount: 3 },
    { service: 'd', after: [1, 2], pieceCount: 3 }
  ]
]

/** Drives a scheduler through events and checks each call: all inputs of the piece, each once, of its own job. */
export function runRandomStages (steps: readonly StageStep[]): StagesRun {
  const { scheduler, buildJob, applyDomains } = createTestScheduler(services)
  const jobs = new Map<string, StageJob>()
  const results = new Map<string, MadeResult>()
  const inFlight: StageCall[] = []
  const ended = new Set<string>()
  const faults: string[] = []
  const isServed = services.map(service => service.domains.map(() => true))
  let nowMs = 0
  let calls = 0

  const checkInputs = (where: string, jobId: string, after: readonly number[], inputs: readonly unknown[]): void => {
    const { stages } = jobs.get(jobId)!
    const expected = after.flatMap(index => {
      return Array.from({ length: stages[index]!.pieceCount }, (_, piece) => `${jobId}.${index}.${piece}`)
    })
    const found = inputs.map(input => {
      const made = typeof input === 'string' ? results.get(input) : undefined
      return made === undefined ? String(input) : `${made.jobId}.${made.stageIndex}.${made.pieceIndex}`
    })
    const isRight = [...found].sort().join() === expected.sort().join()
    if (!isRight) faults.push(`${where} gets ${found.join(' ')}`)
  }
  const plan = (): void => {
    for (const call of scheduler.planCalls(nowMs)) {
      calls++
      inFlight.push(call)
      for (const { requestId, stageIndex, pieceIndex, inputs } of call.pieces) {
        const { after } = jobs.get(requestId)!.stages[stageIndex]!
        if (after.length > 0) checkInputs(`${requestId}.${stageIndex}.${pieceIndex}`, requestId, after, inputs ?? [])
      }
    }
    faults.push(...scheduler.takeMissingInputs().map(missing => `queued without inputs: ${JSON.stringify(missing)}`))
    for (const { jobId, outcome } of scheduler.takeEndedJobs()) {
      ended.add(jobId)
      if (outcome.type !== 'completed') continue
      for (const { index, handles } of outcome.outputs) checkInputs(`the request of ${jobId}`, jobId, [index], handles)
      scheduler.releaseJob(jobId)
    }
    for (const release of scheduler.takeReleases()) scheduler.onReleased(release)
  }
  const buildResult = ({ requestId, stageIndex, pieceIndex }: StagePiece): StagePieceResult => {
    const handle = `result-${results.size}`
    results.set(handle, { jobId: requestId, stageIndex, pieceIndex })
    return { handle }
  }
  const takeCall = (pick: number): StageCall | undefined => inFlight.splice(pick % Math.max(inFlight.length, 1), 1)[0]

  for (const step of steps) {
    if (step.type === 'add') {
      const id = `job${jobs.size}`
      const times = { targetAtMs: nowMs + step.targetInMs, deadlineAtMs: nowMs + step.deadlineInMs }
      const job = buildJob(id, shapes[step.shape % shapes.length]!, times)
      jobs.set(id, job)
      if (!scheduler.addJob(job, nowMs).isAccepted) ended.add(id)
    } else if (step.type === 'plan') {
      nowMs += step.afterMs
      plan()
    } else if (step.type === 'answer') {
      nowMs += 20
      const call = takeCall(step.pick)
      if (call === undefined) continue
      const answer = call.pieces.map((piece, i): StagePieceResult => {
        const failure = step.failures[i]
        return failure === undefined ? buildResult(piece) : { failure }
      })
      scheduler.onCallAnswered(call, answer, nowMs)
      if (step.isPlanned) plan()
    } else if (step.type === 'fail') {
      const call = takeCall(step.pick)
      if (call !== undefined) scheduler.onCallFailed(call, nowMs, step.mayHaveRun)
    } else if (step.type === 'freeze') nowMs += step.afterMs
    else if (step.type === 'lose') {
      isServed[step.service] = domains.map((_, i) => (step.domains >> i & 1) === 0)
      applyDomains(name => {
        const index = services.findIndex(service => service.name === name)
        return services[index]!.domains.filter((_, i) => isServed[index]![i])
      })
    } else {
      const id = `job${step.pick % Math.max(jobs.size, 1)}`
      scheduler.cancelJob(id)
      ended.add(id)
    }
  }
  // From here on all upstreams serve.
  applyDomains(name => services.find(service => service.name === name)!.domains)
  const untilMs = nowMs + drainMs
  while (nowMs < untilMs) {
    plan()
    nowMs += drainStepMs
    for (const call of inFlight.splice(0)) scheduler.onCallAnswered(call, call.pieces.map(buildResult), nowMs)
  }
  plan()
  for (const [id, { deadlineAtMs }] of jobs) {
    if (!ended.has(id) && deadlineAtMs > nowMs) faults.push(`${id} stands still`)
  }
  return { calls, faults }
}
