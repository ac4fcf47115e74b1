/** Bytes that arrive in pieces, kept as one. */

/**
 * Appends pieces to one growing buffer. A buffer for each piece would take a
 * hundred times as much memory as a piece of one byte.
 *
 * @example
 * const buffer = new InputBuffer();
 * for (const piece of pieces) buffer.append(piece);
 * const body = buffer.take();
 */
export class InputBuffer {
  private memory = Buffer.alloc(0);
  private size = 0;

  /** Number of bytes that were appended. */
  get length(): number {
    return this.size;
  }

  /** Bytes of memory that the buffer takes, at most twice its length. */
  get capacity(): number {
    return this.memory.length;
  }

  /** The bytes until the next change; not a copy. */
  get bytes(): Buffer {
    return this.memory.subarray(0, this.size);
  }

  append(piece: Uint8Array): void {
    const size = this.size + piece.length;
    if (size > this.memory.length) {
      // The first piece is often the only one.
      const grown = Buffer.allocUnsafe(Math.max(size, 2 * this.size));
      grown.set(this.bytes);
      this.memory = grown;
    }
    this.memory.set(piece, this.size);
    this.size = size;
  }

  /** Returns the bytes and begins anew. */
  take(): Buffer {
    const {bytes} = this;
    this.memory = Buffer.alloc(0);
    this.size = 0;
    return bytes;
  }
}
