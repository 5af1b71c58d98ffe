import { appendFileSync } from 'node:fs'
import type { Execution } from './execution.js'

/** What a stand-in ran, oldest first; the oldest executions are dropped beyond the limit. */
export class ExecutionLog {
  private executions: Execution[] = []

  /** `file`: starts are also appended to this file, so that they outlive a killed process. */
  constructor (private readonly limit = 200_000, private readonly file?: string) {}

  /** Records the start of an execution; `settleExecution` completes it. */
  recordStart (streamId: string, operation: string, nowMs: number): Execution {
    const execution: Execution = { requestId: streamId.split('/')[1], streamId, operation, start: nowMs, outcome: 'running' }
    this.executions.push(execution)
    if (this.file !== undefined) appendFileSync(this.file, JSON.stringify(execution) + '\n')
    if (this.executions.length > this.limit * 2) this.executions = this.executions.slice(-this.limit)
    return execution
  }

  recordEnd (execution: Execution, outcome: string, nowMs: number): void {
    execution.end = nowMs
    execution.outcome = outcome
  }

  /** One JSON line for each execution. */
  renderLines (): string {
    return this.executions.slice(-this.limit).map(execution => JSON.stringify(execution) + '\n').join('')
  }
}
