import { findMarker } from '../server/findMarker.js'

const defaultTokens = 32

/** One generation in an engine. The tokens are derived from the prompt and the offset, so none is stored. */
export class EngineStream {
  readonly marker: string
  readonly totalTokens: number
  producedTokens = 0
  state: 'waiting' | 'running' | 'completed' | 'cancelled' = 'waiting'
  prefillEndsAtMs = 0
  endedAtMs = 0

  constructor (readonly streamId: string, readonly prompt: string, maxTokens: number, readonly priority: number) {
    this.marker = findMarker(prompt)
    const requestedTokens = Number(/length:(\d+)/.exec(prompt)?.[1] ?? defaultTokens)
    this.totalTokens = Math.min(requestedTokens, maxTokens)
  }

  get isEnded (): boolean {
    return this.state === 'completed' || this.state === 'cancelled'
  }

  /** The tokens from offset `from` up to, but not including, `to` as server-sent events. */
  renderTokens (from: number, to: number): string {
    let text = ''
    for (let offset = from; offset < to; offset++) text += `data: {"o":${offset},"t":"${this.marker}.${offset} "}\n\n`
    return text
  }
}
