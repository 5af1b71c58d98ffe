import { setTimeout as delay } from 'node:timers/promises'
import sonicBoom from 'sonic-boom'
import { logConstants } from './constants.js'
import type { LineWriter } from './lineWriter.js'

/**
 * Creates a function that writes lines to standard output without waiting for its reader. While the reader is slow,
 * lines that exceed a bounded buffer are dropped, and their number is written once the buffer has space again.
 */
export function createOutputWriter (fileDescriptor = 1): LineWriter {
  const output = new sonicBoom.SonicBoom({ fd: fileDescriptor, sync: false, maxLength: logConstants.maxBufferedBytes })
  let dropped = 0
  let isWriting = false
  output.on('drop', () => { dropped++ })
  output.on('drain', () => { isWriting = false })
  // Without a reader there is nowhere to report the failure; the lines are counted as dropped.
  output.on('error', () => { dropped++ })
  const writeLine = (line: string): void => {
    isWriting = true
    if (dropped > 0 && output.write(`{"level":"warning","message":"log lines dropped","reason":"output is slow","count":${dropped}}\n`)) dropped = 0
    output.write(`${line}\n`)
  }
  const flush = async (): Promise<void> => {
    if (!isWriting) return
    await Promise.race([new Promise<void>(resolve => { output.once('drain', resolve).once('error', () => { resolve() }) }), delay(logConstants.maxFlushMs)])
  }
  return Object.assign(writeLine, { flush })
}
