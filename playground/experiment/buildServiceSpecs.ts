import type { ServiceSpec } from '../../src/node/gateway/model/serviceSpec.js'
import type { StageServiceModel } from './stageServiceModel.js'

/** Builds the gateway's configuration of the stage services. */
export function buildServiceSpecs (services: readonly StageServiceModel[]): ReadonlyMap<string, ServiceSpec> {
  return new Map(services.map(({ name, spec }) => [name, { name, connectionLimit: 100, healthPath: '/health', stage: spec }]))
}
