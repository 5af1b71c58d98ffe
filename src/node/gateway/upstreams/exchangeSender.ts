import type { CancelExchange } from './cancelExchange.js'
import type { ExchangeHandler } from './exchangeHandler.js'
import type { ExchangeRequest } from './exchangeRequest.js'

/** Sends a request to an upstream; the returned function cancels it. */
export type ExchangeSender = (request: ExchangeRequest, handler: ExchangeHandler) => CancelExchange
