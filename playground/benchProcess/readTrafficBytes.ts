import { request } from 'undici'
import { parseTrafficBytes } from './parseTrafficBytes.js'

/** Reads the sum of the byte counters (sent and received) in the metrics of an entry host; undefined when there are none. */
export async function readTrafficBytes (address: string): Promise<number | undefined> {
  const answer = await request(`http://${address}/metrics`)
  return parseTrafficBytes(await answer.body.text())
}
