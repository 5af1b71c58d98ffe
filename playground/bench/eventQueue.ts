interface Event {
  readonly atMs: number
  readonly sequence: number
  readonly run: () => void
}

/** Virtual clock: runs events in order of time, and events of the same time in the order in which they were scheduled. */
export class EventQueue {
  nowMs = 0
  private readonly heap: Event[] = []
  private sequence = 0

  schedule (atMs: number, run: () => void): void {
    const event = { atMs: Math.max(atMs, this.nowMs), sequence: this.sequence++, run }
    let at = this.heap.push(event) - 1
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!isBefore(event, this.heap[parent] as Event)) break
      this.heap[at] = this.heap[parent] as Event
      at = parent
    }
    this.heap[at] = event
  }

  /** Runs all events up to `untilMs`. */
  run (untilMs: number): void {
    while (this.heap.length > 0 && (this.heap[0] as Event).atMs <= untilMs) {
      const event = this.takeFirst()
      this.nowMs = event.atMs
      event.run()
    }
  }

  private takeFirst (): Event {
    const first = this.heap[0] as Event
    const last = this.heap.pop() as Event
    const size = this.heap.length
    if (size === 0) return first
    let at = 0
    for (;;) {
      let child = at * 2 + 1
      if (child >= size) break
      if (child + 1 < size && isBefore(this.heap[child + 1] as Event, this.heap[child] as Event)) child++
      if (!isBefore(this.heap[child] as Event, last)) break
      this.heap[at] = this.heap[child] as Event
      at = child
    }
    this.heap[at] = last
    return first
  }
}

function isBefore (a: Event, b: Event): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence)
}
