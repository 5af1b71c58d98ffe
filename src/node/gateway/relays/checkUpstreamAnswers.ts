import { request as sendRequest } from 'node:http'
import type { IncomingHttpHeaders } from 'node:http'
import { relayConstants } from './constants.js'
import type { ProbeTarget } from './probeTarget.js'

/** Resolves to whether an upstream answers on a new connection, whatever it answers. */
export async function checkUpstreamAnswers (
  { address, healthPath }: Pick<ProbeTarget, 'address' | 'healthPath'>,
  onHead = (_status: number, _headers: IncomingHttpHeaders): void => {}
): Promise<boolean> {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const request = sendRequest({ host, port: Number(port), path: healthPath, agent: false })
    const end = (isReached: boolean): void => {
      clearTimeout(timer)
      resolve(isReached)
      request.destroy()
    }
    const timer = setTimeout(() => { end(false) }, relayConstants.probeTimeoutMs)
    request.once('response', response => {
      onHead(response.statusCode ?? 0, response.headers)
      end(true)
    })
    // Bytes that are no response have come from the upstream as well.
    request.on('error', (error: NodeJS.ErrnoException) => { end(error.code?.startsWith('HPE_') === true) })
    request.end()
  })
}
