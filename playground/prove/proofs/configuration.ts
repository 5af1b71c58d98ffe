import { setTimeout as waitMs } from 'node:timers/promises'
import { proveConstants } from '../constants.js'
import type { Proof } from '../proof.js'
import type { ProofRun } from '../run/proofRun.js'
import type { EntryHostProcess } from '../../processes/entryHostProcess.js'

const keyValueServiceId = 'key-value-service'
const account = 'varna-pilots'
const outageMs = 4000
/** Additional rounds while no change has been accepted. */
const maxExtraRounds = 10

/** Changes the contract at random intervals for `rounds`, or longer until a change is accepted; resolves with the highest accepted revision. */
async function writeUntilAccepted (run: ProofRun, rounds: number, hosts?: readonly EntryHostProcess[]): Promise<number> {
  let highest = 0
  for (let round = 0; round < rounds || (highest === 0 && round < rounds + maxExtraRounds); round++) {
    highest = Math.max(highest, await run.operators.writeConcurrently(hosts ?? run.hosts, account, run.random))
    await waitMs(300 * run.random())
  }
  if (highest === 0) run.addViolation({ invariant: 'proof_is_meaningful', subject: account, detail: 'no change was accepted', trace: [] })
  return highest
}

/** Proves that accepted contract changes come into force on every live host and never revert. */
export const configuration: Proof = {
  name: 'configuration',
  summary: 'accepted contract changes are in force on every live host within 5 s and never revert, also after faults that delay them',
  mechanisms: {
    'version-check': 'a proxy in front of the key-value service makes every write succeed',
    convergence: 'one host stays frozen while the change must come into force'
  },
  scenarios: [{
    name: 'two operators at once, and lost write answers',
    runFaults: async run => {
      await run.operators.waitInForce(account, await writeUntilAccepted(run, 6))
      run.recordFault('write answers lost')
      await run.deployment.setFaults(keyValueServiceId, { loseAnswers: 0.5 })
      const [first, ...others] = run.hosts
      if (run.isMechanismDisabled('convergence')) run.deployment.freeze(first!.id)
      const revision = await writeUntilAccepted(run, 4, run.isMechanismDisabled('convergence') ? others : run.hosts)
      await run.deployment.setFaults(keyValueServiceId, {})
      await run.operators.waitInForce(account, revision)
    }
  }, {
    name: 'outage during and after the change, and a host that starts in it',
    runFaults: async run => {
      const starting = run.chooseHost()
      const others = run.hosts.filter(host => host !== starting)
      const [revision] = await Promise.all([
        writeUntilAccepted(run, 3, others),
        waitMs(100 * run.random()).then(() => run.deployment.kill(starting.id))
      ])
      run.recordFault(`${starting.id} killed, outage of the key-value service`)
      await run.deployment.setFaults(keyValueServiceId, { outage: true })
      const during = run.operators.writeConcurrently(others, account, run.random)
      await run.deployment.startProcess(starting.id)
      run.recordFault(`${starting.id} started in the outage`)
      await run.operators.waitInForce(account, revision)
      await during
      await run.setFaults([keyValueServiceId], { outage: true }, outageMs)
      await run.operators.writeUntilInForce(run.hosts, account, run.random)
      // The second outage begins while a change is in progress.
      const changing = run.operators.writeConcurrently(run.hosts, account, run.random)
      await waitMs(20 * run.random())
      await run.setFaults([keyValueServiceId], { outage: true }, outageMs)
      await run.operators.waitInForce(account, Math.max(revision, await changing))
    }
  }, {
    name: 'a host frozen across two changes',
    runFaults: async run => {
      await waitMs(1000)
      const frozen = run.chooseHost()
      const others = run.hosts.filter(host => host !== frozen)
      const freezeEnded = run.freezeHost(frozen.id, proveConstants.freezeMs)
      await waitMs(300)
      await writeUntilAccepted(run, 1, others)
      await waitMs(1500)
      const revision = await writeUntilAccepted(run, 1, others)
      await freezeEnded
      await run.operators.waitInForce(account, revision)
    }
  }, {
    name: 'hosts cut off from the key-value service but not from each other',
    runFaults: async run => {
      await waitMs(1000)
      const cutOffHosts = run.hosts.slice(0, 2)
      const others = run.hosts.slice(2)
      run.recordFault(`${cutOffHosts.map(host => host.id).join(', ')} cut off from the key-value service`)
      await run.deployment.setFaults(keyValueServiceId, { cutFrom: cutOffHosts.map(host => host.id) })
      // The hosts that are cut off receive the change from their peers, so it must be in force before the fault ends.
      await run.operators.waitInForce(account, await writeUntilAccepted(run, 3, others))
      await run.deployment.setFaults(keyValueServiceId, {})
      await run.operators.waitInForce(account, await writeUntilAccepted(run, 3))
    }
  }]
}
