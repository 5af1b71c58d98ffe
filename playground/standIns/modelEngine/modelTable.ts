import { setTimeout as waitMs } from 'node:timers/promises'
import { request } from 'undici'

interface ModelRecord {
  readonly model: string
  readonly version: string
  readonly state: 'loading' | 'loaded' | 'failed'
}

const maxFetchAttempts = 10

/** Models of an engine and their load state. If the list of models is empty, the engine serves every model. */
export class ModelTable {
  private readonly models = new Map<string, ModelRecord>()
  private readonly servesAll: boolean

  constructor (models: readonly string[], private readonly weightStoreUrl: string | undefined, private readonly loadMs: number) {
    this.servesAll = models.length === 0
    for (const model of models) this.models.set(model, { model, version: '1', state: 'loaded' })
  }

  isServed (model: string): boolean {
    return this.models.get(model)?.state === 'loaded' || (this.servesAll && !this.models.has(model))
  }

  listModels (): readonly ModelRecord[] {
    return [...this.models.values()]
  }

  removeModel (model: string): void {
    this.models.delete(model)
  }

  /** Loads a version from the weight store; a version that is loaded already is served until the new one is ready. */
  async loadModel (model: string, version: string): Promise<void> {
    const previous = this.models.get(model)
    if (previous?.state !== 'loaded') this.models.set(model, { model, version, state: 'loading' })
    const loaded = await this.readWeights(model, version)
    if (loaded) this.models.set(model, { model, version, state: 'loaded' })
    else if (previous?.state !== 'loaded') this.models.set(model, { model, version, state: 'failed' })
  }

  private async readWeights (model: string, version: string): Promise<boolean> {
    if (this.weightStoreUrl === undefined) {
      await waitMs(this.loadMs)
      return true
    }
    for (let attempt = 0; attempt < maxFetchAttempts; attempt++) {
      const answer = await request(`${this.weightStoreUrl}/fetch`, { method: 'POST', body: JSON.stringify({ model, version }) }).catch(() => undefined)
      await answer?.body.dump()
      if (answer?.statusCode === 200) return true
      await waitMs(1000 * Number(answer?.headers['retry-after'] ?? 1))
    }
    return false
  }
}
