import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { buildStandInGroups } from './buildStandInGroups.js'
import { Deployment } from './deployment.js'
import type { DeploymentOptions } from './deploymentOptions.js'
import { StandInProcess } from './standInProcess.js'

/** Creates the processes of an example deployment; `start` starts them. */
export function createDeployment (options: DeploymentOptions): Deployment {
  const directory = mkdtempSync(join(tmpdir(), 'lycheetrack-'))
  const groups = buildStandInGroups(options.example, options.grouping ?? 'type')
  const program = join(options.distDirectory, 'playground', 'standIns.cjs')
  const standIns = [...groups].map(([group, placements]) => {
    return new StandInProcess(`stand-ins ${group}`, program, join(directory, `${group}.json`), placements.map(placement => ({ ...placement.options, ...(options.writesExecutionLogs ? { logFile: join(directory, `${placement.options.id}.log`) } : {}) })))
  })
  return new Deployment(options, directory, [...groups.values()].flat(), standIns)
}
