import t from 'tap'
import { startContractCluster } from '../../../../playground/fakes/startContractCluster.js'

for (const seed of [21, 22, 23, 24]) {
  t.test(`changes under random faults stay linearizable and monotonic, and the check detects an injected stale revision (seed ${seed})`, async t => {
    const cluster = await startContractCluster(seed)
    const { random } = cluster
    const ids = [...cluster.contracts.keys()]
    cluster.service.isAnswerLost = () => random() < 0.2
    const pendingChanges: Array<Promise<unknown>> = []
    for (let step = 0; step < 60; step++) {
      const id = ids[Math.floor(random() * ids.length)] as string
      const fault = random()
      if (fault < 0.1) cluster.network.setFrozen(id, true)
      else if (fault < 0.25) ids.forEach(frozen => { cluster.network.setFrozen(frozen, false) })
      else if (fault < 0.35) (cluster.keyValueConnections.get(id) as { isCut: boolean }).isCut = random() < 0.5
      else if (fault < 0.45) cluster.service.outage = random() < 0.5
      const account = random() < 0.5 ? 'pier' : 'quay'
      const known = cluster.contracts.get(id)?.store.findRevision(account)?.revision ?? 0
      pendingChanges.push(cluster.writeChange(id, account, known, random() < 0.2))
      await cluster.clock.runFor(random() * 1500)
    }
    cluster.service.outage = false
    cluster.service.isAnswerLost = () => false
    ids.forEach(id => { cluster.network.setFrozen(id, false); (cluster.keyValueConnections.get(id) as { isCut: boolean }).isCut = false })
    await cluster.clock.runFor(30_000)
    t.equal((await Promise.all(pendingChanges)).length, 60)
    t.same(cluster.validateHistory(), [])
    const newest = cluster.contracts.get('host-0')?.store.findRevision('pier')?.revision ?? 0
    t.ok(newest > 3, `more than 3 changes were accepted (${newest})`)
    t.ok(cluster.isInForce('pier', newest), 'every host has the same revision')
    cluster.addObservation({ host: 'host-0', account: 'pier', revision: 1, token: 'injected', atMs: cluster.clock.readMonotonicMs() })
    t.not(cluster.validateHistory().length, 0, 'an injected stale revision is detected')
  })
}
