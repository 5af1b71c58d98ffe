import t from 'tap'
import { computeFit } from '../computeFit.js'
import { createSeries } from '../createSeries.js'

const head = { part: 'part', figure: 'figure', unit: 'ms', sizeName: 'hosts', targetSize: 100 }

t.test('points on a line give its slope, no error and its value at the target', async t => {
  const fit = computeFit(createSeries(head, [[1, [5]], [2, [7]], [10, [23]]]))
  t.match(fit, { slope: 2, intercept: 3, relativeError: 0, atTarget: 203, isMeasured: false })
})

t.test('one slow run of a busy machine does not move the fit', async t => {
  const fit = computeFit(createSeries(head, [[10, [1, 1, 50]], [100, [10, 10, 900]]]))
  t.equal(fit.atTarget, 10)
  t.equal(fit.isMeasured, true)
})

t.test('the error is the residual in relation to the mean value', async t => {
  const fit = computeFit(createSeries(head, [[0, [1]], [1, [3]], [2, [1]], [3, [3]]]))
  t.ok(Math.abs(fit.relativeError - Math.sqrt(0.8) / 2) < 1e-9)
})
