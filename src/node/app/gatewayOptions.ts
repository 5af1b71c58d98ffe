/** Options of `createGatewayHost` that the platform's settings do not hold. */
export interface GatewayOptions {
  /** @default 9464 */
  readonly metricsPort?: number
  /**
   * Takes one log line without its line feed.
   * @default standard output
   */
  readonly writeLine?: (line: string) => void
}
