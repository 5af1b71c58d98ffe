import { findMarker } from '../server/findMarker.js'

const tokensWithoutLength = 32

/** One generation in an engine. Its tokens follow from the prompt, so none is stored. */
export class EngineStream {
  readonly marker: string
  readonly totalTokens: number
  producedTokens = 0
  state: 'waiting' | 'running' | 'completed' | 'cancelled' = 'waiting'
  /** Time at which the prefill ends. */
  prefillEndsAtMs = 0
  endedAtMs = 0

  constructor (readonly streamId: string, readonly prompt: string, maxTokens: number, readonly priority: number) {
    this.marker = findMarker(prompt)
    const asked = Number(/length:(\d+)/.exec(prompt)?.[1] ?? tokensWithoutLength)
    this.totalTokens = Math.min(asked, maxTokens)
  }

  get isEnded (): boolean {
    return this.state === 'completed' || this.state === 'cancelled'
  }

  /** The tokens from one offset up to another as SSE lines. */
  renderTokens (from: number, to: number): string {
    let text = ''
    for (let offset = from; offset < to; offset++) text += `data: {"o":${offset},"t":"${this.marker}.${offset} "}\n\n`
    return text
  }
}
