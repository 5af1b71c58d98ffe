import { hashText } from '../../shared/hashText.js'
import type { ContractRevision } from '../../types/contractRevision.js'
import type { ContractView } from '../../types/contractView.js'
import { contractConstants } from './constants.js'

/**
 * The newest contract revisions known to a host, including deletions. Revision numbers only increase. Accounts are
 * hashed into 64 buckets, whose digests let two hosts find their differences without exchanging every account.
 */
export class ContractStore implements ContractView {
  private readonly revisions = new Map<string, ContractRevision>()
  private readonly accountsByTokenDigest = new Map<string, Set<string>>()
  private readonly bucketAccounts = Array.from({ length: contractConstants.digestBuckets }, () => new Set<string>())
  private readonly bucketDigests: number[] = new Array<number>(contractConstants.digestBuckets).fill(0)
  private readonly listeners = new Set<(revision: ContractRevision) => void>()

  /** Puts the revision in force and returns true if it is newer than the known one. */
  apply (revision: ContractRevision): boolean {
    const known = this.revisions.get(revision.account)
    if (known && known.revision >= revision.revision) return false
    this.revisions.set(revision.account, revision)
    this.updateTokens(known, revision)
    this.updateBucket(known, revision)
    for (const listener of this.listeners) listener(revision)
    return true
  }

  /** The contract in force; undefined if there is none or it was deleted. */
  find (account: string): ContractRevision | undefined {
    const known = this.revisions.get(account)
    return known?.contract ? known : undefined
  }

  /** The newest known revision, which may be a deletion. */
  findRevision (account: string): ContractRevision | undefined {
    return this.revisions.get(account)
  }

  /** If several accounts hold the token, the first one in sort order is returned, so that all hosts agree. */
  findByTokenDigest (digest: string): ContractRevision | undefined {
    const account = [...this.accountsByTokenDigest.get(digest) ?? []].sort()[0]
    return account === undefined ? undefined : this.find(account)
  }

  list (): readonly ContractRevision[] {
    return this.listRevisions().filter(revision => revision.contract !== null)
  }

  /** The newest revision of every account, including deletions. */
  listRevisions (): readonly ContractRevision[] {
    return [...this.revisions.values()]
  }

  onApplied (listener: (revision: ContractRevision) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** One 32-bit digest per bucket over its accounts and their revisions; independent of the order of changes. */
  listBucketDigests (): readonly number[] {
    return [...this.bucketDigests]
  }

  listBucketRevisions (bucket: number): readonly ContractRevision[] {
    return [...this.bucketAccounts[bucket] ?? []].flatMap(account => this.revisions.get(account) ?? [])
  }

  private updateTokens (previous: ContractRevision | undefined, revision: ContractRevision): void {
    for (const digest of previous?.contract?.tokenDigests ?? []) {
      const accounts = this.accountsByTokenDigest.get(digest)
      accounts?.delete(revision.account)
      if (accounts?.size === 0) this.accountsByTokenDigest.delete(digest)
    }
    for (const digest of revision.contract?.tokenDigests ?? []) {
      const accounts = this.accountsByTokenDigest.get(digest) ?? new Set<string>()
      this.accountsByTokenDigest.set(digest, accounts.add(revision.account))
    }
  }

  private updateBucket (previous: ContractRevision | undefined, revision: ContractRevision): void {
    const bucket = hashText(revision.account) % contractConstants.digestBuckets
    const previousHash = previous ? hashRevision(previous) : 0
    this.bucketAccounts[bucket]?.add(revision.account)
    this.bucketDigests[bucket] = ((this.bucketDigests[bucket] ?? 0) ^ previousHash ^ hashRevision(revision)) >>> 0
  }
}

function hashRevision (revision: ContractRevision): number {
  return hashText(`${revision.account}\n${revision.revision}`)
}
