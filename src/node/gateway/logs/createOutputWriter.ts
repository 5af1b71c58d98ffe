import sonicBoom from 'sonic-boom'
import { logConstants } from './constants.js'

/**
 * Creates a function that writes lines to standard output without waiting for its reader. While the reader is slow,
 * lines that exceed a bounded buffer are dropped, and their number is written once the buffer has space again.
 */
export function createOutputWriter (fileDescriptor = 1): (line: string) => void {
  const output = new sonicBoom.SonicBoom({ fd: fileDescriptor, sync: false, maxLength: logConstants.maxBufferedBytes })
  let dropped = 0
  output.on('drop', () => { dropped++ })
  // Without a reader there is nowhere to report the failure; the lines are counted as dropped.
  output.on('error', () => { dropped++ })
  return line => {
    if (dropped > 0 && output.write(`{"level":"warning","message":"log lines dropped","reason":"output is slow","count":${dropped}}\n`)) dropped = 0
    output.write(`${line}\n`)
  }
}
