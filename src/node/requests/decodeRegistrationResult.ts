import type { lycheetrack as messages } from '../peers/generated/peer.js'
import { decodeResumeHint } from './decodeResumeHint.js'
import type { RegistrationResult } from './registrationResult.js'

/** Decodes a registration result from its peer message. */
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
