import type { SocketOutput } from './socketOutput.js'

interface UnreadAnswer {
  readonly sentBytes: number
  /** Time of the first observation since which the client has taken nothing. */
  readonly sinceMs: number
}

/**
 * Finds the connections whose clients take nothing of a pending answer. Answers the load of clients that each keep a
 * little of an answer unread and so hold all connections of a server without filling the memory for answers. A client
 * that reads slowly has taken something as soon as the kernel has.
 */
export class UnreadAnswers<Connection> {
  /** In the order of `sinceMs`. */
  private readonly answers = new Map<Connection, UnreadAnswer>()

  /** Feeds what has become of a connection's answers. */
  observe (connection: Connection, { unsentBytes, sentBytes }: SocketOutput, nowMs: number): void {
    const known = this.answers.get(connection)
    if (known !== undefined && unsentBytes > 0 && known.sentBytes === sentBytes) return
    this.answers.delete(connection)
    if (unsentBytes > 0) this.answers.set(connection, { sentBytes, sinceMs: nowMs })
  }

  remove (connection: Connection): void {
    this.answers.delete(connection)
  }

  /** Connections whose answers have been unread for `minMs`, the longest first. */
  listUnread (minMs: number, nowMs: number): readonly Connection[] {
    const unread: Connection[] = []
    for (const [connection, { sinceMs }] of this.answers) {
      if (nowMs - sinceMs < minMs) break
      unread.push(connection)
    }
    return unread
  }

  /**
   * The connection whose answer has been unread for longest, at least for `minMs`. What has been taken since the last
   * observation is read from the candidates only, so the cost does not grow with the number of connections.
   */
  findLongestUnread (minMs: number, nowMs: number, readOutput: (connection: Connection) => SocketOutput): Connection | undefined {
    for (;;) {
      const [first] = this.answers
      if (first === undefined) return undefined
      const [connection, { sinceMs }] = first
      if (nowMs - sinceMs < minMs) return undefined
      this.observe(connection, readOutput(connection), nowMs)
      if (this.answers.get(connection)?.sinceMs === sinceMs) return connection
    }
  }
}
