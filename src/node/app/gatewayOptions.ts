/** Options of `createGatewayHost` that are not part of the host settings of the platform. */
export interface GatewayOptions {
  /** @default 9464 */
  readonly metricsPort?: number
  /**
   * Writes one log line, which is passed without its line feed.
   * @default standard output
   */
  readonly writeLine?: (line: string) => void
  /** Cancels the start, until the host listens for clients. */
  readonly stopSignal?: AbortSignal
}
