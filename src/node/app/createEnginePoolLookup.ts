import type { ContractView } from '../../types/contractView.js'

/**
 * Creates the check whether the members of a pool are model engines: a generate stage of some contract uses
 * the pool. The pools are collected again after a change of the contracts only, because each probe of an
 * upstream asks and a search of 7,300 contracts takes milliseconds.
 */
export function createEnginePoolLookup (contracts: Pick<ContractView, 'list' | 'onApplied'>): (pool: string) => boolean {
  let pools: ReadonlySet<string> | undefined
  contracts.onApplied(() => { pools = undefined })
  return pool => {
    pools ??= new Set(listEnginePools(contracts))
    return pools.has(pool)
  }
}

function * listEnginePools (contracts: Pick<ContractView, 'list'>): Generator<string> {
  for (const { contract } of contracts.list()) {
    for (const kind of Object.values(contract?.kinds ?? {})) {
      for (const stage of kind.stages) if (stage.operation === 'generate') yield stage.pool
    }
  }
}
