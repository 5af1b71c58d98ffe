import type { AdmissionController } from '../../types/admissionController.js'
import type { AdmissionRequest } from '../../types/admissionRequest.js'
import type { Clock } from '../../types/clock.js'
import type { Metrics } from '../../types/metrics.js'
import type { RequestSample } from '../../types/requestSample.js'
import type { AnswerEnd } from './answerEnd.js'
import type { ExecutionReport } from './executionReport.js'
import type { Submission } from './submission.js'

interface RequestSamplerOptions {
  readonly clock: Clock
  readonly metrics: Metrics
  readonly admission: AdmissionController
  readonly onSample?: (sample: RequestSample) => void
}

/** Reports finished and refused requests to metrics and the burn report, and finished ones to admission. */
export class RequestSampler {
  constructor (private readonly options: RequestSamplerOptions) {}

  recordFinished (submission: Submission, admitted: AdmissionRequest, receivedMs: number, end: AnswerEnd, report: ExecutionReport): void {
    const nowMs = this.options.clock.readMonotonicMs()
    const elapsedMs = nowMs - receivedMs
    const attained = end.kind === 'done' && elapsedMs <= submission.spec.objective.latencyMs
    this.options.admission.onFinished(admitted, elapsedMs, attained, nowMs)
    this.recordSample(submission, elapsedMs, attained, end, report)
  }

  recordRefused (submission: Submission, receivedMs: number, code: string): void {
    const elapsedMs = this.options.clock.readMonotonicMs() - receivedMs
    this.recordSample(submission, elapsedMs, false, { kind: 'error', code, message: '', ran: 'not_run', httpStatus: 503 }, {})
  }

  private recordSample (submission: Submission, elapsedMs: number, attained: boolean, end: AnswerEnd, report: ExecutionReport): void {
    const { metrics, clock, onSample } = this.options
    const code = end.kind === 'error' ? end.code : undefined
    metrics.addCount('lycheetrack_requests_total', { outcome: code === undefined ? 'completed' : code })
    if (end.kind === 'done' && end.tokenCount > 0) metrics.addCount('lycheetrack_tokens_total', {}, end.tokenCount)
    metrics.recordDuration('lycheetrack_request_duration_ms', { outcome: end.kind }, elapsedMs)
    onSample?.({
      account: submission.account,
      kind: submission.kind,
      elapsedMs,
      attained,
      code,
      ran: end.kind === 'done' ? 'ran' : end.ran,
      slowestStage: report.slowestStage,
      slowestUpstream: report.slowestUpstream,
      atMs: clock.readWallMs()
    })
  }
}
