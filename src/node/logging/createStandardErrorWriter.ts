import { loggingConstants } from './constants.js'

/**
 * Creates a function that writes lines to a stream, standard error by default. While the reader of the stream is
 * slow or gone, lines are dropped to bound the memory, and their count is written before the next line.
 */
export function createStandardErrorWriter (stream: NodeJS.WriteStream = process.stderr): (line: string) => void {
  let dropped = 0
  // Without an error listener, a closed pipe would end the process.
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
