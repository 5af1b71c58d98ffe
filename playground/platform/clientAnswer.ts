export interface ClientAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: string
  /** Whether the answer ended with a complete HTTP message. */
  readonly isComplete: boolean
}
