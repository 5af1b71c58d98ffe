import t from 'tap'
import { TokenModel } from '../tokenModel.js'

// Guards against a fresh host that refuses long work whose maximum, but not its usual length, exceeds the deadline.
t.test('a length not seen yet is predicted below the maximum, and a seen one from the past', t => {
  const model = new TokenModel()
  t.equal(model.compute('pier/digest/generate', 400), 200)
  model.observe('pier/digest/generate', 120)
  t.equal(model.compute('pier/digest/generate', 400), 120)
  t.equal(model.compute('pier/digest/generate', 100), 100)
  t.end()
})
