import type { ContractView } from '../../types/contractView.js'

/**
 * Creates a function that returns whether the members of a pool are model engines, that is, whether a generate
 * stage of any contract uses the pool. The set of pools is cached until a contract changes, because every probe
 * of an upstream calls the function and a scan of 7,300 contracts takes milliseconds.
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
