import { request as openRequest } from 'node:http'

/** Runs a caller process: opens streams at the host and reports how many answers were complete. */
export function runCallers (port: number, streams: number, tokensPerStream: number): void {
  let endedCount = 0
  let completeCount = 0
  const body = JSON.stringify({ kind: 'short', input: { text: 'digest' }, stream: true })
  const lastId = `id: 1:${tokensPerStream}\n`
  for (let index = 0; index < streams; index++) {
    const call = openRequest({ host: '127.0.0.1', port, method: 'POST', path: '/v1/requests', agent: false, headers: { authorization: 'Bearer token-pier' } }, response => {
      let tail = ''
      response.setEncoding('latin1')
      response.on('data', (chunk: string) => { tail = (tail + chunk).slice(-20_000) })
      response.on('end', () => {
        if (tail.includes(lastId) && tail.includes('event: done')) completeCount++
        else console.error(`caller ${index}: ${tail.slice(-600)}`)
        if (++endedCount === streams) process.send?.({ whole: completeCount })
      })
    })
    call.on('error', error => { console.error(`caller ${index}: ${String(error)}`) })
    // Connections are opened one after another, because the backlog of a listening port is short.
    setTimeout(() => call.end(body), index * 6)
  }
}
