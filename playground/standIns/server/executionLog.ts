import { appendFileSync } from 'node:fs'
import type { Execution } from './execution.js'

/** Log of the calls that a stand-in executed, oldest first. Beyond `limit` the oldest entries are dropped. */
export class ExecutionLog {
  private executions: Execution[] = []

  /** `file`: file to which starts are appended, so that they survive when the process is killed. */
  constructor (private readonly limit = 200_000, private readonly file?: string) {}

  /** Records the start of an execution; `recordEnd` completes the entry. */
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

  /** Renders the log with one JSON line per execution. */
  renderLines (): string {
    return this.executions.slice(-this.limit).map(execution => JSON.stringify(execution) + '\n').join('')
  }
}
