import type { LoadReport } from '../../types/loadReport.js'

/** Load as an upstream reports it in a probe. */
export type UpstreamLoad = Omit<LoadReport, 'upstreamId'>
