import t from 'tap'
import { computeConnectionLimit } from '../../gateway/ingress/computeConnectionLimit.js'
import { gatewayConstants } from '../gatewayConstants.js'

/** The target fleet, and the descriptors of its smallest machines. */
const hostCount = 340
const fileDescriptors = 4100

// After a pause of a host, all others connect again while their old connections are still open there.
t.test('guards against a bound that keeps out hosts which connect again after a pause', async t => {
  t.ok(computeConnectionLimit(fileDescriptors, gatewayConstants.peerDescriptorShare) >= 2 * hostCount)
})
