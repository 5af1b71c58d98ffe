/** Why the host closed a connection; `unknown` stands for any other reason. */
export type CutOffReason = 'response-closed' | 'client-error' | 'failure' | 'answer-unread' | 'unknown'
