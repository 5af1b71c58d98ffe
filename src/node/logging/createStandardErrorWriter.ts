import { loggingConstants } from './constants.js'

/**
 * Writes lines to a stream, standard error by default. When its reader is slow or gone, lines are
 * dropped instead of filling the memory, and the next line that fits is preceded by their number.
 */
export function createStandardErrorWriter (stream: NodeJS.WriteStream = process.stderr): (line: string) => void {
  let dropped = 0
  // Without a listener, a closed pipe would end the process.
  stream.on('error', () => { dropped++ })
  return line => {
    if (stream.writableLength > loggingConstants.maxBufferedBytes) {
      dropped++
      return
    }
    if (dropped > 0) stream.write(`{"level":"warning","message":"log lines dropped","count":${dropped}}\n`)
    dropped = 0
    stream.write(`${line}\n`)
  }
}
