import t from 'tap'
import { computeReport } from '../computeReport.js'
import { experimentDeployments } from '../experimentDeployments.js'
import { renderReport } from '../renderReport.js'
import { runExperiment } from '../runExperiment.js'
import { stageConstants } from '../../../src/node/gateway/stages/constants.js'

const ferry = experimentDeployments.find(deployment => deployment.name === 'ferry')!

t.test('late work does not displace work that can be on time during load bursts', async t => {
  const day = ferry.days.find(({ name }) => name === 'crests')!
  for (const seed of [1, 2]) {
    const { total, kinds, creditBound } = computeReport(await runExperiment(ferry, day, seed))
    // Requests of the kind `label` pass one stage only and hardly wait; they would hide late answers of the other kinds.
    const wholePipeline = kinds.filter(({ name }) => name !== 'label')
    const late = wholePipeline.reduce((sum, kind) => sum + kind.late, 0)
    const onTime = wholePipeline.reduce((sum, kind) => sum + kind.onTime, 0)
    // Admission allows this share of the accepted requests to be late.
    t.ok(late / (late + onTime) <= 1 - stageConstants.marginQuantile, `seed ${seed}: ${(late / (late + onTime)).toFixed(3)} of the answers are late`)
    t.ok(total.credit <= creditBound, `seed ${seed}: the credit is within the bound of the capacity`)
  }
})

t.test('each request of a day has one outcome, and the same seed gives the same report', async t => {
  const day = { ...ferry.days[0]!, lengthMs: 3000 }
  const first = computeReport(await runExperiment(ferry, day, 7))
  const { asked, onTime, late, refused, failed } = first.total
  t.equal(onTime + late + refused + failed, asked)
  t.same(computeReport(await runExperiment(ferry, day, 7)), first)
  t.matchSnapshot(renderReport(first))
})
