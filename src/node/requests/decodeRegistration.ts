import type { lycheetrack as messages } from '../peers/generated/peer.js'
import { decodeResumeHint } from './decodeResumeHint.js'
import type { Registration } from './registration.js'

/** Decodes a registration from its peer message. */
export function decodeRegistration (message: messages.IRegisterRequestRequest): Registration {
  return {
    identity: { account: message.account ?? '', requestId: message.requestId ?? '', bodyHash: message.bodyHash ?? '' },
    ownerId: message.ownerId ?? '',
    epoch: message.epoch ?? 0,
    hint: decodeResumeHint(message),
    finished: message.finished ?? false,
    takeoverFrom: message.takeoverFrom === '' ? undefined : message.takeoverFrom ?? undefined
  }
}
