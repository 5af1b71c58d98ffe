import { AddressInUseError } from './addressInUseError.js'
import { isAddressInUse } from './isAddressInUse.js'
import { isAddressMissing } from './isAddressMissing.js'
import { listenerConstants } from './constants.js'
import { waitForDelay } from '../../shared/waitForDelay.js'
import type { Clock } from '../../types/clock.js'
import type { Logger } from '../../types/logger.js'

interface WaiterOptions {
  /** Time from the creation of the waiter, in ms, after which an address in use, or missing, is an error. */
  readonly limitMs: number
  /** @default listenerConstants.addressRetryMs */
  readonly retryMs?: number
  readonly stopSignal?: AbortSignal
  readonly clock: Clock
  readonly logger: Logger
}

/** Opens the addresses of a host. Waits for those that a process before it still has, or the machine does not have yet. */
export class AddressWaiter {
  private readonly endMs: number

  constructor (private readonly options: WaiterOptions) {
    this.endMs = options.clock.readMonotonicMs() + options.limitMs
  }

  /**
   * Calls `listen` until the address is there and free. At the end of the time, rejects with `AddressInUseError`, or with
   * the error that says that it is missing; also with the reason of the stop signal, and with other errors of `listen`.
   */
  async open<T> (address: string, listen: () => Promise<T>): Promise<T> {
    return await this.openAny([address], listen)
  }

  /** As `open`, for the first of the addresses that is free; waits only while all of them are in use. */
  async openAny<T> (addresses: readonly string[], listen: (address: string) => Promise<T>): Promise<T> {
    const { limitMs, retryMs = listenerConstants.addressRetryMs, stopSignal = new AbortController().signal, clock, logger } = this.options
    const address = addresses.length === 1 ? addresses[0] : `${addresses[0]} to ${addresses.at(-1)}`
    for (let failures = 0; ; failures++) {
      stopSignal.throwIfAborted()
      const attempt = await this.openFirstFree(addresses, listen)
      if ('result' in attempt) {
        if (failures > 0) logger.recordInfo('address free', { address, failures })
        return attempt.result
      }
      const isMissing = isAddressMissing(attempt.cause)
      if (clock.readMonotonicMs() >= this.endMs) {
        if (isMissing) throw attempt.cause
        throw new AddressInUseError(`${address} is in use after ${limitMs} ms`, { cause: attempt.cause })
      }
      if (failures === 0) {
        const limit = limitMs === Infinity ? {} : { limitMs }
        const outcome = isMissing ? 'waiting until the machine has it' : 'waiting for its process to end'
        logger.recordWarning(isMissing ? 'address missing' : 'address in use', { address, ...limit, outcome })
      }
      await waitForDelay(retryMs, stopSignal)
    }
  }

  private async openFirstFree<T> (
    addresses: readonly string[],
    listen: (address: string) => Promise<T>
  ): Promise<{ readonly result: T } | { readonly cause: unknown }> {
    let cause: unknown
    for (const address of addresses) {
      try {
        return { result: await listen(address) }
      } catch (error) {
        if (!isAddressInUse(error) && !isAddressMissing(error)) throw error
        cause = error
      }
    }
    return { cause }
  }
}
