/** Queue lengths and idle upstreams of a stage service. */
export interface StageLoad {
  readonly service: string
  readonly queuedPieces: number
  readonly latePieces: number
  readonly idle: number
  readonly upstreams: number
}
