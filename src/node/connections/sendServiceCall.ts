import { AnswerCollector } from './answerCollector.js'
import type { Dispatcher } from 'undici'
import type { ServiceAnswer } from './serviceAnswer.js'
import type { ServiceCall } from './serviceCall.js'

/** Sends a call to a platform service and collects its answer. Rejects when there is no whole one. */
export async function sendServiceCall (dispatcher: Dispatcher, call: ServiceCall): Promise<ServiceAnswer> {
  const { method, path, headers, body, signal } = call
  signal.throwIfAborted()
  return await new Promise((resolve, reject) => {
    const collector = new AnswerCollector(call, { onAnswer: resolve, onFailure: reject })
    dispatcher.dispatch({ method, path, headers, body: body ?? null }, collector)
  })
}
