import type { Deployment } from '../../processes/deployment.js'
import type { ExecutionHistory } from '../history/executionHistory.js'

/** Reads the execution logs of all upstreams of a deployment. Stream ids are `account/request/stage/attempt`. */
export async function readExecutions (deployment: Deployment): Promise<readonly ExecutionHistory[]> {
  const logs = await Promise.all(deployment.listUpstreams().map(async upstreamId => {
    const lines = await deployment.readLog(upstreamId)
    return lines.map(line => {
      const [account = '', requestId = '', stage = ''] = String(line.streamId).split('/')
      return { upstreamId, account, requestId, stage, startMs: Number(line.start) }
    })
  }))
  return logs.flat()
}
