import { hashRequest } from './hashRequest.js'
import { listSharedPartIds } from './listSharedPartIds.js'
import type { ClientAccount } from '../model/clientAccount.js'
import type { ClientRequest } from '../model/clientRequest.js'

/** What of a request may end upstreams. The digest is computed only when there is a crash to compare it with. */
export class SuspectRequest {
  /** Parts of the prompt that other requests may share. */
  readonly partIds: readonly string[]
  private hashValue: string | undefined

  constructor (
    private readonly request: ClientRequest,
    private readonly account: ClientAccount | null,
    private readonly body: Buffer
  ) {
    this.partIds = listSharedPartIds(request.promptParts)
  }

  /** Digest that is the same for all tries of the request. */
  get hash (): string {
    this.hashValue ??= hashRequest(this.request, this.account, this.body)
    return this.hashValue
  }
}
