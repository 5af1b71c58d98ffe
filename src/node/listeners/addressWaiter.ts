import { AddressInUseError } from './addressInUseError.js'
import { isAddressInUse } from './isAddressInUse.js'
import { listenerConstants } from './constants.js'
import { waitForDelay } from '../../shared/waitForDelay.js'
import type { Clock } from '../../types/clock.js'
import type { Logger } from '../../types/logger.js'

interface WaiterOptions {
  /** Time from the creation of the waiter, in ms, after which an address in use is an error. */
  readonly limitMs: number
  readonly stopSignal?: AbortSignal
  readonly clock: Clock
  readonly logger: Logger
}

/** Opens the addresses of a host, and waits for those that a process before it has not left yet. */
export class AddressWaiter {
  private readonly endMs: number

  constructor (private readonly options: WaiterOptions) {
    this.endMs = options.clock.readMonotonicMs() + options.limitMs
  }

  /**
   * Calls `listen` until the address is free. Rejects with `AddressInUseError` at the end of the time, with the reason of
   * the stop signal, and with any other error of `listen`.
   */
  async open<T> (address: string, listen: () => Promise<T>): Promise<T> {
    const { limitMs, stopSignal = new AbortController().signal, clock, logger } = this.options
    for (let failures = 0; ; failures++) {
      stopSignal.throwIfAborted()
      try {
        const result = await listen()
        if (failures > 0) logger.recordInfo('address free', { address, failures })
        return result
      } catch (error) {
        if (!isAddressInUse(error)) throw error
        if (clock.readMonotonicMs() >= this.endMs) throw new AddressInUseError(`${address} is in use after ${limitMs} ms`, { cause: error })
        if (failures === 0) logger.recordWarning('address in use', { address, limitMs, outcome: 'waiting for its process to end' })
      }
      await waitForDelay(listenerConstants.addressRetryMs, stopSignal)
    }
  }
}
