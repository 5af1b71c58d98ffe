interface StreamEvent {
  readonly id: number
  readonly requestId: string
  /** Software version of the engine that made the event. */
  readonly version: string
  /** The event as it was received. */
  readonly text: string
}

const eventPattern = /^id: (\d+)\ndata: ([^\n]*):\d+:([^\n:]*)$/

/** The whole events of a stream; when its connection breaks, the last one may be incomplete. */
export function listStreamEvents (answer: string): readonly StreamEvent[] {
  const events = answer.split('\n\n').slice(0, -1)
  return events.map(text => {
    const [, id, requestId = '', version = ''] = eventPattern.exec(text) ?? []
    return { id: Number(id), requestId, version, text }
  })
}
