/** Operation that a stage runs on its upstream pool. `call` is a call to a plain service. */
export type StageOperation = 'encode' | 'retrieve' | 'rerank' | 'generate' | 'call'
