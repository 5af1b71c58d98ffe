import type { z } from 'zod'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import type { Random } from '../../src/types/random.js'
import { HostListHandler } from './hostList/hostListHandler.js'
import { KeyValueHandler } from './keyValueService/keyValueHandler.js'
import { ModelEngineHandler } from './modelEngine/modelEngineHandler.js'
import { PlainServiceHandler } from './plainService/plainServiceHandler.js'
import { CallRunner } from './server/callRunner.js'
import { ExecutionLog } from './server/executionLog.js'
import { FaultState } from './server/faultState.js'
import type { StandInHandler } from './server/standInHandler.js'
import { StandInServer } from './server/standInServer.js'
import { StagePoolHandler } from './stagePool/stagePoolHandler.js'
import { standInOptions } from './standInOptions.js'
import { WeightStoreHandler } from './weightStore/weightStoreHandler.js'

/** Creates a stand-in server from its options; throws a `ZodError` when one is unknown or invalid. */
export function createStandIn (input: z.input<typeof standInOptions>): StandInServer {
  const options = standInOptions.parse(input)
  const random = createSeededRandom(options.seed)
  const faults = new FaultState(random)
  const log = new ExecutionLog(undefined, options.logFile)
  return new StandInServer(options.id ?? options.type, options.linkDelayMs, createHandler(options, random, faults, log), faults, log)
}

function createHandler (options: z.output<typeof standInOptions>, random: Random, faults: FaultState, log: ExecutionLog): StandInHandler {
  switch (options.type) {
    case 'key-value-service': return new KeyValueHandler(options, faults, log)
    case 'host-list': return new HostListHandler(options, faults)
    case 'model-engine': return new ModelEngineHandler(options, random, faults, log)
    case 'stage-pool': return new StagePoolHandler(new CallRunner(options, random, faults, log))
    case 'plain-service': return new PlainServiceHandler(new CallRunner(options, random, faults, log))
    case 'weight-store': return new WeightStoreHandler(options, faults, log)
  }
}
