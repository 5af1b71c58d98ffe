import { LycheetrackError } from '../../../shared/lycheetrackError.js'

/** The system does not tell the memory of the process, for example because its file descriptors are used up. */
export class MemoryUnreadableError extends LycheetrackError {
  readonly code = 'memory_unreadable'
  override readonly ran = 'not_run'
}
