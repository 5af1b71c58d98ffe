import type { lycheetrack as messages } from '../peers/generated/peer.js'
import { decodeResumeHint } from './decodeResumeHint.js'
import type { RegistrationResult } from './registrationResult.js'

/** The directory's answer from its wire form. */
export function decodeRegistrationResult (message: messages.IRegisterRequestResponse): RegistrationResult {
  return {
    accepted: message.accepted ?? false,
    ownerId: message.ownerId ?? '',
    epoch: message.epoch ?? 0,
    bodyHash: message.bodyHash ?? '',
    hint: decodeResumeHint(message),
    finished: message.finished ?? false
  }
}
