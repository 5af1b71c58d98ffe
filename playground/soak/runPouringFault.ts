import { setTimeout as waitMs } from 'node:timers/promises'
import { endlessAnswers } from '../platform/endlessAnswers.js'
import type { pouringFaultTypes } from './pouringFaultTypes.js'
import type { SoakDeployment } from './soakDeployment.js'

type PouringFaultType = typeof pouringFaultTypes[number]

const answers = {
  'service-pours-noise': 'bytes that are no answer',
  'service-pours-status': 'a status line',
  'service-pours-headers': 'short header lines',
  'service-pours-interim': 'interim responses',
  'service-pours-trailers': 'trailers',
  'service-pours-body': 'a signed body in chunks',
  'service-pours-events': 'an event'
} as const satisfies Readonly<Record<PouringFaultType, string>>

/** Lets all upstreams of a service answer without end for a time; answers that have begun go on until they are closed. */
export async function runPouringFault (
  type: PouringFaultType,
  service: string,
  forMs: number,
  deployment: SoakDeployment
): Promise<void> {
  const upstreams = deployment.upstreams.filter(({ options }) => options.service === service)
  const recordEnds = [
    deployment.recordDisruption('pouring', service),
    ...upstreams.map(({ options }) => deployment.recordDisruption('upstream', options.id))
  ]
  for (const upstream of upstreams) upstream.endlessAnswer = endlessAnswers[answers[type]]
  await waitMs(forMs)
  for (const upstream of upstreams) upstream.endlessAnswer = undefined
  for (const recordEnd of recordEnds) recordEnd()
}
