/** Non-cryptographic hashes and rendezvous hashing. */
import createXxhash from 'xxhash-wasm'

const xxhash = await createXxhash()

/** 32-bit hash of a text; another seed gives an independent hash. */
export function hash32 (text: string, seed = 0): number {
  return xxhash.h32(text, seed)
}

/** 64-bit hash of a text as 16 hex digits. */
export function hash64Hex (text: string): string {
  return xxhash.h64ToString(text)
}

/**
 * The `count` nodes with the highest hash for `key`, best first. A node that joins or leaves changes the result only
 * for the keys that have it among their first `count` nodes.
 */
export function rendezvous (key: string, nodes: readonly string[], count: number): string[] {
  return nodes
    .map((node) => ({ node, score: hash32(`${key}\u0000${node}`) }))
    .sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1))
    .slice(0, count)
    .map((entry) => entry.node)
}
