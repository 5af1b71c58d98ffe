import { setTimeout as delay } from 'node:timers/promises'
import { openCrowd } from './openCrowd.js'
import { ProcessGauge } from './processGauge.js'
import type { ClientCrowd } from './clientCrowd.js'
import type { ManagedProcess } from '../processes/managedProcess.js'

interface TrialOptions {
  readonly crowd: ClientCrowd
  /** Address and path to which the crowd sends. */
  readonly address: string
  readonly path: string
  /** Header lines that each request of the crowd has besides its own. */
  readonly fields?: string
  readonly process: ManagedProcess
  /** Sends an ordinary request; whether it was answered. */
  readonly sendOrdinary: () => Promise<boolean>
}

interface TrialResult {
  readonly isRunning: boolean
  readonly peakMb: number
  readonly peakDescriptors: number
  /** Whether an ordinary request was answered while the crowd was still connected. */
  readonly isAnswered: boolean
}

/** Time after which the process has read what the crowd has sent. */
const settleMs = 1000
/** Clients repeat an ordinary request for this long, with a pause between two. */
const repeatMs = 15_000
const repeatPauseMs = 100

/** Lets a crowd send, and ordinary requests after it while it stays connected. */
export async function runCrowdTrial (options: TrialOptions): Promise<TrialResult> {
  const { crowd, address, path, fields = '', process, sendOrdinary } = options
  const gauge = new ProcessGauge(process.pid!)
  try {
    const clients = await openCrowd({ crowd, address, path, fields })
    await delay(settleMs)
    const endMs = performance.now() + repeatMs
    let isAnswered = false
    while (!isAnswered && process.isRunning && performance.now() < endMs) {
      isAnswered = await sendOrdinary()
      if (!isAnswered) await delay(repeatPauseMs)
    }
    const { peakDescriptors } = gauge
    const result = { isRunning: process.isRunning, peakMb: gauge.readPeakMb(), peakDescriptors, isAnswered }
    for (const client of clients) client.close()
    return result
  } finally {
    gauge.stop()
  }
}
