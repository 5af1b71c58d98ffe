import t from 'tap'
import { TokenModel } from '../tokenModel.js'

// Guards against predicting the maximum for a kind without samples: admission would refuse its first requests.
t.test('a kind without samples is predicted at half of its maximum', t => {
  t.equal(new TokenModel().computeExpectedTokens('pier/log-digest/digest', 400), 200)
  t.end()
})

t.test('an account without samples is predicted from the same kind of other accounts', t => {
  const model = new TokenModel()
  for (let i = 0; i < 20; i++) model.observe('bridge/log-digest/digest', 190)
  t.same([model.computeExpectedTokens('pier/log-digest/digest', 400), model.computeExpectedTokens('pier/signal-query/digest', 64)], [190, 32])
  t.end()
})
