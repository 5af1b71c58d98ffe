/** Cancels an exchange; `protocolError` tells by what the upstream has broken the protocol, when this is the cause. */
export type CancelExchange = (protocolError?: string) => void
