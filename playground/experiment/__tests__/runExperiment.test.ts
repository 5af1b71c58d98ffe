import t from 'tap'
import { computeReport } from '../computeReport.js'
import { experimentDeployments } from '../experimentDeployments.js'
import { renderReport } from '../renderReport.js'
import { runExperiment } from '../runExperiment.js'
import { stageConstants } from '../../../src/node/gateway/stages/constants.js'

const ferry = experimentDeployments.find(deployment => deployment.name === 'ferry')!

t.test('guards against crests in which late work displaces work that could be on time', async t => {
  const day = ferry.days.find(({ name }) => name === 'crests')!
  for (const seed of [1, 2]) {
    const { total, kinds, creditBound } = computeReport(await runExperiment(ferry, day, seed))
    // Labels pass one stage only and hardly wait; they would hide the others.
    const wholePipeline = kinds.filter(({ name }) => name !== 'label')
    const late = wholePipeline.reduce((sum, kind) => sum + kind.late, 0)
    const onTime = wholePipeline.reduce((sum, kind) => sum + kind.onTime, 0)
    // Admission lets this share of the accepted work be late.
    t.ok(late / (late + onTime) <= 1 - stageConstants.marginQuantile, `seed ${seed}: ${(late / (late + onTime)).toFixed(3)} of the answers are late`)
    t.ok(total.credit <= creditBound, 'no more than the capacity allows')
  }
})

t.test('each request of a day has one outcome, and the same seed gives the same day', async t => {
  const day = { ...ferry.days[0]!, lengthMs: 3000 }
  const first = computeReport(await runExperiment(ferry, day, 7))
  const { asked, onTime, late, refused, failed } = first.total
  t.equal(onTime + late + refused + failed, asked)
  t.same(computeReport(await runExperiment(ferry, day, 7)), first)
  t.matchSnapshot(renderReport(first))
})
