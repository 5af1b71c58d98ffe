import { capacityConstants } from './constants.js'
import { DecayingWork } from './decayingWork.js'
import type { AccountWork } from './accountWork.js'

interface AccountRecord {
  readonly newWork: DecayingWork
  readonly returningWork: DecayingWork
  /** Time until which room has been promised to refused requests. */
  promisedUntilMs: number
}

/**
 * Recent demand of the requests of one priority by account, and the time until which room has been promised to each.
 */
export class DemandRecord {
  private readonly tokens = createWork()
  private readonly requests = createWork()
  private readonly accounts = new Map<string, AccountRecord>()

  /** Number of recent requests, in which older ones count less. */
  countRequests (nowMs: number): number {
    return this.requests.computeAmount(nowMs)
  }

  /** Tokens of these requests. */
  countTokens (nowMs: number): number {
    return this.tokens.computeAmount(nowMs)
  }

  /** `weight` is the chance of the request relative to others of its account. */
  addRequest (account: string, tokens: number, weight: number, isReturning: boolean, nowMs: number): void {
    this.tokens.addAmount(tokens, nowMs)
    this.requests.addAmount(1, nowMs)
    const unused = { newWork: createWork(), returningWork: createWork(), promisedUntilMs: 0 }
    const known = this.accounts.get(account) ?? unused
    this.accounts.set(account, known)
    known[isReturning ? 'returningWork' : 'newWork'].addAmount(tokens * weight, nowMs)
  }

  /** Work that each account asks for. */
  listDemands (nowMs: number): readonly number[] {
    return [...this.accounts.values()].map(({ newWork, returningWork }) => {
      return newWork.computeAmount(nowMs) + returningWork.computeAmount(nowMs)
    })
  }

  computeWork (account: string, nowMs: number): AccountWork {
    const known = this.accounts.get(account)
    return {
      newWork: known?.newWork.computeAmount(nowMs) ?? 0,
      returningWork: known?.returningWork.computeAmount(nowMs) ?? 0
    }
  }

  getPromisedUntilMs (account: string): number {
    return this.accounts.get(account)?.promisedUntilMs ?? 0
  }

  setPromisedUntilMs (account: string, promisedUntilMs: number): void {
    const known = this.accounts.get(account)
    if (known !== undefined) known.promisedUntilMs = promisedUntilMs
  }

  /** Forgets accounts without recent requests. Returns whether any is left. */
  removeIdle (nowMs: number): boolean {
    for (const [account, { newWork, returningWork }] of this.accounts) {
      if (newWork.computeAmount(nowMs) + returningWork.computeAmount(nowMs) < 1) this.accounts.delete(account)
    }
    return this.accounts.size > 0
  }
}

function createWork (): DecayingWork {
  return new DecayingWork(capacityConstants.demandHalfLifeMs)
}
