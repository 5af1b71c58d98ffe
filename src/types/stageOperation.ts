/** What a stage asks of its upstream pool. `call` is a call to a plain service. */
export type StageOperation = 'encode' | 'retrieve' | 'rerank' | 'generate' | 'call'
