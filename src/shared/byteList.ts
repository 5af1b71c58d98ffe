/** Pieces of this size are kept as they are: copies of large bodies took 19 MB more at the peak of a crowd. */
const minKeptBytes = 1024
const minBlockBytes = 256
const maxBlockBytes = 65_536

/**
 * Collects bytes that arrive in pieces of any size. Answers the load of a sender whose pieces are a byte long: kept as
 * they are, each takes some hundred bytes, and keeps the buffer that was read from the socket.
 */
export class ByteList {
  private blocks: Buffer[] = []
  /** Bytes of the last block that are filled. */
  private filledBytes = 0
  private size = 0
  /** Size of the last block when it was copied into; 0 when it is a piece as it arrived. */
  private copiedBlockBytes = 0

  get byteLength (): number {
    return this.size
  }

  /** Adds the bytes, which must not change from then on. */
  add (bytes: Buffer): void {
    const last = this.blocks.at(-1)
    const copiedBytes = last === undefined ? 0 : bytes.copy(last, this.filledBytes)
    this.filledBytes += copiedBytes
    this.size += copiedBytes
    if (copiedBytes < bytes.length) this.addBlock(bytes.subarray(copiedBytes))
  }

  /** All bytes in one buffer. */
  buildBuffer (): Buffer {
    const last = this.blocks.at(-1)
    if (last === undefined) return Buffer.alloc(0)
    const filled = last.subarray(0, this.filledBytes)
    return this.blocks.length === 1 ? filled : Buffer.concat([...this.blocks.slice(0, -1), filled], this.size)
  }

  /** The last `count` bytes, or all when there are fewer. */
  buildTail (count: number): Buffer {
    const parts: Buffer[] = []
    let missing = count
    for (let i = this.blocks.length - 1; i >= 0 && missing > 0; i--) {
      const block = this.blocks[i]!
      const end = i === this.blocks.length - 1 ? this.filledBytes : block.length
      const part = block.subarray(Math.max(end - missing, 0), end)
      parts.unshift(part)
      missing -= part.length
    }
    return Buffer.concat(parts)
  }

  release (): void {
    this.blocks = []
    this.filledBytes = 0
    this.size = 0
    this.copiedBlockBytes = 0
  }

  private addBlock (bytes: Buffer): void {
    const isKept = bytes.length >= minKeptBytes
    this.copiedBlockBytes = isKept ? 0 : this.computeBlockBytes(bytes.length)
    this.blocks.push(isKept ? bytes : this.buildBlock(bytes))
    this.filledBytes = bytes.length
    this.size += bytes.length
  }

  /**
   * Blocks grow while small pieces follow each other, so that a long list has few of them. One small piece between large
   * ones, as at the end of a read from the socket, gets a small block: the next large piece would be copied into the rest.
   */
  private computeBlockBytes (pieceBytes: number): number {
    return Math.min(Math.max(this.copiedBlockBytes * 2, minBlockBytes, pieceBytes), maxBlockBytes)
  }

  private buildBlock (bytes: Buffer): Buffer {
    const block = Buffer.allocUnsafeSlow(this.copiedBlockBytes)
    bytes.copy(block)
    return block
  }
}
