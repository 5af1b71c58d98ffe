import { runBurn } from './runBurn.js'
import type { CapacitySeries } from './capacitySeries.js'
import { runClaims } from './runClaims.js'
import { runContractFleet } from './runContractFleet.js'
import { runContractTables } from './runContractTables.js'
import { runIdleProcesses } from './runIdleProcesses.js'
import { runLimitFleet } from './runLimitFleet.js'
import { runLimitTables } from './runLimitTables.js'
import { runMembership } from './runMembership.js'
import { runProbes } from './runProbes.js'
import { runRequestMessages } from './runRequestMessages.js'
import { runRequestTables } from './runRequestTables.js'
import { runRouting } from './runRouting.js'
import { runServiceCalls } from './runServiceCalls.js'

/** The parts of the benchmark by name, in the order in which they run. */
export const runParts: Readonly<Record<string, () => Promise<readonly CapacitySeries[]>>> = {
  routing: runRouting,
  contracts: async () => [...await runContractTables(), ...await runContractFleet()],
  limits: async () => [...await runLimitTables(), ...await runLimitFleet()],
  requests: async () => [...await runRequestTables(), ...await runRequestMessages()],
  service: runServiceCalls,
  claims: runClaims,
  membership: runMembership,
  burn: runBurn,
  probes: runProbes,
  idle: runIdleProcesses
}
